@routing
Feature: The view of backend servers

  Scenario: Announcements with impossible values are refused and change nothing
    Given a view with engines "a-1,b-1"
    Then each impossible announcement is refused with the name of its field
    And announcements from outside the allowed networks are refused
    And the engines are "a-1,b-1"

  Scenario: Older announcements and ended starts are ignored
    Given a view with engines "a-1"
    Then an announcement with the same or an older sequence is not applied
    When the engine "a-1" restarts
    Then an announcement of the ended start is not applied
    And own requests and cached blocks of "a-1" are forgotten

  Scenario: Another engine at the same address replaces the earlier one
    Given a view with engines "a-1"
    When engine "a-2" announces the address of "a-1"
    Then the engines are "a-2"

  Scenario: A silent engine ages out after three heartbeats
    Given a view with engines "a-1,b-1"
    When only "b-1" announces for 3 s
    Then the candidates are "b-1"
    And expiring drops "a-1"

  Scenario Outline: Leaving is learned over either way alone
    Given a view with engines "a-1,a-2,b-1"
    When <news>
    Then the candidates are "<left>"

    Examples:
      | news                           | left    |
      | engine "a-1" announces leaving | a-2,b-1 |
      | a notice names "a-1"           | a-2,b-1 |
      | a notice names "a"             | b-1     |

  Scenario: A zone under notice takes new engines again after it was taken
    Given a view with engines "a-1,b-1"
    When a notice names "a"
    And engine "a-9" is new 6 s later
    Then the candidates are "a-9,b-1"

  Scenario: No schedule of news gives work to an engine that leaves
    Then in 300 schedules no leaving, silent or noticed engine is chosen

  Scenario: Several failures in a row eject an engine until others are gone
    Given a view with engines "a-1,b-1"
    When "a-1" fails 3 times
    Then the candidates are "b-1"
    When a notice names "b-1"
    Then the candidates are "a-1"

  Scenario: Own requests count at once and are never less than all of them
    Given a view with engines "a-1"
    Then 4 requests sent after a report of 3 make a load of 7
    And a request that a late report may not include is not lost from the load
