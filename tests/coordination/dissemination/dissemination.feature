@state
Feature: Settings reach every process and their revision never decreases

  Scenario: A delta contains only the changed parts of the files
    Given revision 1 with files "base=a site/x=one-2-three site/y=c"
    And revision 2 with files "base=a site/x=one-5-three site/z=e"
    Then the delta from 1 to 2 edits "site/x" with "5", adds "site/z" and removes "site/y"
    And the delta applied to revision 1 gives revision 2
    And the delta applied to a different revision 1 is refused

  Scenario: Deltas can be made between any two revisions
    Then each delta between random files results in the later files

  Scenario: A watcher follows the state group
    Given a settings group with 3 changes
    When a watcher starts
    And 4 changes are accepted
    Then the watcher applied the revisions "3 4 5 6 7"

  Scenario: A watcher that missed 1000 changes reads one revision
    Given a settings group with 3 changes
    When a watcher starts
    And the watcher's watch is stopped
    And 1000 changes are accepted
    And the watcher's watch is restarted
    Then the watcher applied the revisions "3 1003"

  Scenario: An isolated replica does not revert the settings to an older revision
    Given a settings group with 3 changes
    And a state replica that is isolated from now on
    When a watcher starts
    And 4 changes are accepted
    And the watcher reads from the isolated replica and watches it
    Then the watcher applied the revisions "3 4 5 6 7"
    And its dump shows revision 7 from "watch of the state group"

  Scenario: A process without access to the state group uses its peers' highest revision
    Given a settings group with 3 changes
    And a relay "one" at revision 3 and a relay "two" at revision 5
    When a watcher starts without access to the state group
    Then the watcher applied the revisions "3 5"
    And its dump shows revision 5 from "highest revision among peers"
    And its dump shows the reason "read at state: no answer"
    When the state group is reachable again at revision 7
    Then the watcher applied the revisions "3 5 7" after 3000 ms and not before

  Scenario: A process that is behind a peer reads from the state group
    Given a settings group with 3 changes
    When a watcher starts
    And the watcher's watch is stopped
    And 1 changes are accepted
    And a peer announces revision 4
    Then the watcher applied the revisions "3 4" after 3000 ms and not before

  Scenario: Relays of each zone follow the state group and other processes follow them
    Then 380 processes in 7 zones of 2 regions form a tree with at most 32 direct followers
    And in a tree of 10 processes all are direct followers
    And a process that leaves changes the parents of at most 40 others

  Scenario: Settings are relayed over gRPC
    Given a settings group with 3 changes
    And a relay over gRPC
    When a watcher follows the relay over gRPC
    And 4 changes are accepted
    Then the watcher reaches revision 7 from "relay"
    And a follower of another cluster is refused
