@replay
Feature: The stand-in cloud and weight store

  Scenario: Starts are refused during a shortage, and a repeated request starts one host
    Given a cloud model with two zones
    When starts in zone "a" are refused from 0 to 10000 ms
    Then a start in zone "a" at 5000 ms is refused
    And a start requested twice in zone "b" at 5000 ms starts one host
    And a start requested twice in zone "a" at 10000 ms starts one host

  Scenario: A host costs its current price from its start to its end
    Given a cloud model with two zones
    When a host runs in zone "a" for 1 h, and its price doubles after 30 min
    And the host is reclaimed with a notice of 30 min
    Then the cost is 2.5
    And the cost does not increase after the end of the host

  Scenario: The weight store refuses loads above its rate limit
    Then of 100 loads at 20 per second, the burst and 2 per second are allowed

  Scenario: The cloud API starts hosts and reclaims them after a notice
    Given a cloud over HTTP that starts engines on its hosts
    When a host is requested over HTTP
    Then the host's engine responds
    When the cloud reclaims the host with a notice of 100 ms
    Then the API lists the notice once and the engine stops

  Scenario: An engine fetches the weights of an ordered model version
    Given an engine over HTTP and a weight store that allows 1 load per 200 ms
    When two orders to load different versions of a model are sent
    Then both weights are fetched once and the second version is ready
