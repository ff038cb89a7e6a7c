@replay
Feature: The stand-in cloud and weight store

  Scenario: Starts are refused in a shortage, and a request gives one host
    Given a cloud model with two zones
    When starts in zone "a" are refused from 0 to 10000 ms
    Then a start in "a" at 5000 ms is refused
    And a start in "b" at 5000 ms gives one host, also when asked twice
    And a start in "a" at 10000 ms gives one host, also when asked twice

  Scenario: Cost follows prices while hosts run
    Given a cloud model with two zones
    When a host runs in "a" for an hour, and its price doubles after half of it
    And it is taken back with a notice of 30 minutes
    Then the cost is 2.5
    And no cost comes after its end

  Scenario: The weight store refuses what exceeds its rate
    Then 100 loads at 20 a second against 2 a second are let through as allowed

  Scenario: Over HTTP hosts start, are noticed and go
    Given a cloud over HTTP that starts engines
    When a host is asked for over HTTP
    Then the host's engine answers
    When the cloud notices all its hosts
    Then the notice is told and the engine dies

  Scenario: An engine loads what it is ordered from a weight store
    Given an engine over HTTP with a weight store of 1 load in 200 ms
    When it is ordered to load 2 versions in turn
    Then both weights are fetched and the second version is ready
