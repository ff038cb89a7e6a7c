@gateway
Feature: Hosts that agree on the one that founds the state group

  Scenario: Hosts are frozen, killed and wiped at the first start
    Then in 300 seeded first starts exactly one host founds a group

  Scenario Outline: A planted fault is found within 1,000 seeds: <fault>
    Then <fault> makes a seeded first start fail

    Examples:
      | fault                              |
      | a host that founds as it is told   |
      | a founder that needs only one vote |
      | a proposer that ignores votes      |

  Scenario: A damaged vote is not taken for one
    Then a stored vote is read back, and with any byte missing it is refused

  # Guards against a second group that members of the first one agree to.
  Scenario: Members of a group grant no votes, and need none
    Given a host whose stored vote is damaged
    Then it is not opened as a host without a group
    And as a member of a group it is opened, and refuses each vote

  # Guards against two groups after a host was frozen between the order and its execution.
  Scenario: A host that was frozen during the first start does not found a second group
    Given 4 gateway processes of which the first is frozen 1 s after their start
    When it goes on 6.5 s later
    Then one process has founded a group, and a configuration is read at all
