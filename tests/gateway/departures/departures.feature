@gateway
Feature: Departure times of reclaimed backend servers

  Scenario: A reclaimed engine is queried for its departure time, which all gateways receive
    Given an engine that reports from the second query on that it stops in 1300 ms
    When the reclaimable engine announces to one gateway that it leaves
    Then both gateways expect its stop after 1300 ms, not after the default 2500 ms
    And its streams are due to migrate after 0.2 s and not before
    When the engine announces again that it leaves
    Then both gateways expect its stop after 1300 ms, not after the default 2500 ms

  Scenario: A reclaimed engine that only withdraws is queried, too
    Given an engine that reports from the second query on that it stops in 1300 ms
    When the reclaimable engine withdraws at one gateway
    Then both gateways expect its stop after 1300 ms, not after the default 2500 ms

  Scenario Outline: An engine that reports no departure time keeps the default one
    Given an engine that responds to queries with <response>
    When the reclaimable engine announces to one gateway that it leaves
    Then both gateways expect its stop after 2500 ms
    And the engine was queried 3 times

    Examples:
      | response              |
      | 200 {"state":"ready"} |
      | 200 [1]               |
      | 503 {}                |

  # Guards against the departure of a new start that is taken for that of the one before it.
  Scenario: A report of a later start does not state when the earlier one stops
    Given an engine that responds to queries with 200 {"leaves_ms":1300,"born":2}
    When the reclaimable engine announces to one gateway that it leaves
    Then both gateways expect its stop after 2500 ms

  Scenario: An engine that is not reclaimable is not queried
    Given an engine that reports from the second query on that it stops in 1300 ms
    When the on-demand engine announces to one gateway that it leaves
    Then both gateways expect its stop after 2500 ms
    And the engine was queried 0 times
