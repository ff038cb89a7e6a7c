@coordination
Feature: Hosts with a disk agree on the first members of a group

  Scenario: Hosts are lost, frozen, wiped and cut off at the first start
    Then in 300 seeded first starts exactly one group is founded, and it accepts in time

  Scenario Outline: A planted fault is found within 1,000 seeds: <fault>
    Then <fault> makes a seeded first start fail

    Examples:
      | fault                                        |
      | a proposer that founds the group alone       |
      | agreement by a single vote                   |
      | a proposer that ignores votes                |
      | an empty disk that votes as a first one      |
      | a host that forgets its vote at a restart    |
      | a seed that does not count before it is seen |
      | a proposal that only the first seed makes    |

  Scenario: A damaged vote is not taken for one
    Then a stored vote is read back, and with any byte missing it is refused
    And a vote of an earlier version is read

  Scenario: First members are of as many zones as possible, and respond if they can
    Given a proposer in zone a, responding hosts in zones a, b and b, and a silent one in c
    Then the first 3 members are the proposer and responding hosts of zones b and a
    And the first 5 members include the silent one

  Scenario: A value names members, or one host as earlier versions agree
    Then a list of members is read back, and its hosts start with all of them
    And a member on a replaced disk does not start
    And the name of a host makes that host start alone

  # Guards against a deployment without a group after the first seed is lost.
  Scenario Outline: The first hosts in turn are lost before they propose: <lost>
    Given 4 hosts that know each other, of which <lost> do not run
    Then <proposer> proposes within 2.5 s, and the group is agreed on

    Examples:
      | lost    | proposer |
      | no host | h1       |
      | h1      | h2       |
      | h2      | h1       |

  Scenario: No host proposes too early, with too few hosts, or beside a group
    Given 4 hosts that know each other
    Then none proposes within 0.7 s
    Given 4 hosts that know each other
    When a group is known to exist
    Then none proposes within 9 s
    Given a host that knows one other of 3 seeds that are not heard from
    Then none proposes within 9 s

  Scenario: Two halves that know each other only through a gateway without a disk
    Given 10 hosts of which 2 may be lost, split into halves with seeds of their own
    Then no half proposes first members while a gateway without a disk names the others

  Scenario: A host of an earlier version orders this one to propose
    Given 4 hosts that know each other
    When the last of them is ordered to propose
    Then the last of them proposes at once

  Scenario: The agreed value of an earlier version is kept
    Given 4 hosts that know each other, and a host of an earlier version was accepted
    Then that host is agreed on, and is ordered to found the group
