@routing
Feature: The view of backend servers

  Scenario: Invalid announcements are refused and change nothing
    Given a view with engines "a-1,b-1"
    Then each invalid announcement is refused with the name of its field
    And announcements from outside the allowed networks are refused
    And the engines are "a-1,b-1"

  Scenario: Outdated announcements and those of an earlier process start are ignored
    Given a view with engines "a-1"
    Then an announcement with the same or an earlier sequence number is not applied
    When the engine "a-1" restarts
    Then an announcement of the earlier process start is not applied
    And the requests and cached blocks of "a-1" are removed

  # Guards against a departure that is taken for older than what else is known.
  Scenario: A departure is applied whatever its sequence number, and is final for its start
    Given a view with engines "a-1"
    Then an announcement with the same or an earlier sequence number is not applied
    And one that states that the engine leaves is applied, whatever its sequence number
    And the engine stays leaving, whatever the same start announces later

  Scenario: A new engine at an address replaces the earlier one
    Given a view with engines "a-1"
    When engine "a-2" announces the address of "a-1"
    Then the engines are "a-2"

  Scenario: A silent engine expires after three heartbeat intervals
    Given a view with engines "a-1,b-1"
    When only "b-1" sends announcements for 3 s
    Then the candidates are "b-1"
    And the view removes "a-1" as expired

  Scenario Outline: An announcement or a reclaim notice marks an engine as leaving
    Given a view with engines "a-1,a-2,b-1"
    When <event>
    Then the candidates are "<remaining>"

    Examples:
      | event                                | remaining |
      | engine "a-1" announces its departure | a-2,b-1   |
      | a reclaim notice names "a-1"         | a-2,b-1   |
      | a reclaim notice names "a"           | b-1       |

  # Guards against a departure that is lost when the engine announces itself once more: a
  # view that only gets the last announcement sent requests to it.
  Scenario: A leaving engine that announces itself as ready stays a leaving one everywhere
    Given a view with engines "a-1,b-1"
    When engine "a-1" announces its departure
    And engine "a-1" announces itself as ready 0.5 s later
    Then the candidates are "b-1"
    And the later announcement has changed nothing that others need to know
    And a view that gets the last announcements only has the candidates "b-1"

  # Guards against requests to a departed engine whose last announcement was delayed.
  Scenario: A late announcement of an engine that has left makes it no candidate
    Given a view with engines "a-1,b-1"
    When engine "a-1" announces its departure
    And the view forgets "a-1"
    And engine "a-1" announces itself as ready 9 s later
    And engine "b-1" announces itself as ready 0 s later
    Then the candidates are "b-1"
    When the engine "a-1" starts anew
    Then the candidates are "a-1,b-1"

  Scenario: An engine that starts after the reclaim time of its zone is a candidate
    Given a view with engines "a-1,b-1"
    When a reclaim notice names "a"
    And engine "a-9" sends its first announcement 6 s later
    Then the candidates are "a-9,b-1"

  Scenario: No order of events routes a request to a leaving engine
    Then in 300 event orders no leaving or silent engine or one under notice is chosen

  Scenario: Consecutive failures eject an engine while others are available
    Given a view with engines "a-1,b-1"
    When 3 requests at "a-1" fail
    Then the candidates are "b-1"
    When a reclaim notice names "b-1"
    Then the candidates are "a-1"

  Scenario: Local requests count as soon as they are sent, whatever the engine reports
    Given a view with engines "a-1"
    Then 4 requests sent after a reported load of 3 make a load of 7
    And a local request in flight counts although a later load report is 0
