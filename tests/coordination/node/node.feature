@state
Feature: Membership and settings of a process

  Scenario: Settings reach nodes through relays found by membership
    Given 5 nodes in one zone, with a relay tree from 2 processes on
    Then all nodes reach revision 3
    And 2 nodes follow the state group and 3 follow a relay
    When 2 changes are accepted
    Then all nodes reach revision 5
    When a node starts without access to the state group
    Then the new node reaches revision 5 from "highest revision among peers"
    When a relay stops without an announcement and 1 change is accepted
    Then all nodes reach revision 6

  Scenario: The embedding example runs with only the coordination library
    When the embedding example runs
    Then a second worker continued after the first one stopped
