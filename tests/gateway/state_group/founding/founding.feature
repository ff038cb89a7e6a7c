@gateway
Feature: Gateways with a disk found the state group together

  # Guards against a second group that members of the first one agree to.
  Scenario: Members of a group grant no votes, and need none
    Given a host whose stored vote is damaged
    Then it is not opened as a host without a group
    And as a member of a group it is opened, and refuses each vote

  Scenario: A disk without a vote is trusted only at the first start
    Given a host with an empty disk
    Then it votes at the first start, and again after a restart
    And with another empty disk it does not vote at a later start

  Scenario: A host whose state was damaged does not vote again
    Given a host that has voted, and whose identity file is damaged
    Then it is opened with a new disk and without a vote

  # Guards against two groups after a host was frozen between the order and its execution.
  Scenario: A host that was frozen during the first start does not found a second group
    Given 4 gateway processes of which the first is frozen 1 s after their start
    When it goes on 6.5 s later
    Then one group has been founded, and a configuration is read at all

  # Guards against a deployment that never has a group (review/7).
  Scenario Outline: The first seed is lost for good <at> s after the first start
    Given 4 gateway processes with <disks> disks
    When they start, and the first is killed <at> s later
    Then a configuration is confirmed at the others within 7 s
    And one group has been founded

    Examples:
      | at  | disks |
      | 0.3 | usual |
      | 1.5 | usual |
      | 0.3 | slow  |
      | 1.5 | slow  |

  # Guards against a group that depends on its founder alone (review/9).
  Scenario: A first member is lost as soon as the group is founded
    Given 4 gateway processes of which one is killed once it has founded the group
    Then a configuration is confirmed at the others within 7 s
    And one group has been founded

  Scenario: A host that is killed at the first start returns at a later one
    Given 4 gateway processes with usual disks
    When they start, and the first is killed 1.2 s later
    And it starts again 1 s later, not for the first time
    Then a configuration is confirmed at all within 7 s
    And one group has been founded

  Scenario Outline: Gateways of the earlier build start with those of this one: <earlier>
    Given 4 gateway processes of which <earlier> run the earlier build
    Then a configuration is confirmed at all within 15 s
    And one group has been founded

    Examples:
      | earlier   |
      | 1         |
      | 2, 3      |
      | 1, 2, 3   |
