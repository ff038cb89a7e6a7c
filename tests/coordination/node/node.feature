@state
Feature: Membership and settings of a process together

  Scenario: Settings reach nodes through relays that membership names
    Given 5 nodes in one zone whose tree starts at 2 processes
    Then all nodes reach revision 3
    And 2 nodes follow the state group and 3 follow a relay
    When 2 changes are accepted
    Then all nodes reach revision 5
    When the state group is lost to a node that starts now
    Then the new node reaches revision 5 from "highest revision among peers"
    When a relay stops silently and 1 change is accepted
    Then all nodes reach revision 6

  Scenario: The example of embedding runs on the coordination library alone
    When the example of embedding runs
    Then a second worker went on after the first one stopped
