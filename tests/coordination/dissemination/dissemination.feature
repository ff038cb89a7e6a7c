@state
Feature: Settings reach every process and only ever grow in revision

  Scenario: A delta carries only what changed
    Given revision 1 with files "base=a site/x=one-2-three site/y=c"
    And revision 2 with files "base=a site/x=one-5-three site/z=e"
    Then the delta from 1 to 2 edits "site/x" with "5", adds "site/z" and removes "site/y"
    And the delta applied to revision 1 gives revision 2
    And the delta applied to another revision 1 is refused

  Scenario: A delta leads from any files to any others
    Then deltas between random files give the later files

  Scenario: A watcher follows the state group through changes
    Given a settings group with 3 changes
    When a watcher starts
    And 4 changes are accepted
    Then the watcher applied the revisions "3 4 5 6 7"

  Scenario: A watcher that was away for 1000 changes reads one revision
    Given a settings group with 3 changes
    When a watcher starts
    And the watcher's watch is stopped
    And 1000 changes are accepted
    And the watcher's watch goes on
    Then the watcher applied the revisions "3 1003"

  Scenario: The old state of an isolated replica puts no newer one back
    Given a settings group with 3 changes
    And a replica that is isolated from then on
    When a watcher starts
    And 4 changes are accepted
    And the watcher reads from and follows the isolated replica
    Then the watcher applied the revisions "3 4 5 6 7"
    And its dump shows 7 from "watch of the state group"

  Scenario: A process without the state group takes its peers' highest revision
    Given a settings group with 3 changes
    And a relay "one" at 3 and a relay "two" at 5
    When a watcher starts that cannot reach the state group
    Then the watcher applied the revisions "3 5"
    And its dump shows 5 from "highest revision among peers"
    And its dump gives the reason "read at state: no answer"
    When the state group comes back at 7
    Then the watcher applied the revisions "3 5 7" after 3000 ms and not before

  Scenario: A process that is behind a peer reads by itself
    Given a settings group with 3 changes
    When a watcher starts
    And the watcher's watch is stopped
    And 1 changes are accepted
    And a peer tells number 4
    Then the watcher applied the revisions "3 4" after 3000 ms and not before

  Scenario: Relays of each zone follow the state group and the rest follow them
    Then 380 processes in 7 zones of 2 regions form a tree with few direct followers
    And the tree of 10 processes has direct followers only
    And one process that leaves changes the parent of few others

  Scenario: Settings flow through relays over gRPC
    Given a settings group with 3 changes
    And a relay over gRPC
    When a watcher follows the relay over gRPC
    And 4 changes are accepted
    Then the watcher reaches revision 7 through "relay"
    And a follower of another cluster is refused
