@gateway
Feature: Departure times of reclaimed backend servers

  Scenario: A reclaimed engine is queried for its departure time, and all gateways learn it
    Given an engine that reports from the second query on that it stops in 1300 ms
    When it announces to one gateway that it leaves, as a reclaimable one
    Then both gateways expect its stop after 1300 ms, not after the default 2500 ms
    And its streams are due to migrate after 0.2 s and not before
    When it announces again that it leaves
    Then both gateways expect its stop after 1300 ms, not after the default 2500 ms

  Scenario: A reclaimed engine that only withdraws is queried, too
    Given an engine that reports from the second query on that it stops in 1300 ms
    When it withdraws at one gateway, as a reclaimable one
    Then both gateways expect its stop after 1300 ms, not after the default 2500 ms

  Scenario Outline: An engine that reports no departure time keeps the default one
    Given an engine that answers queries with <answer>
    When it announces to one gateway that it leaves, as a reclaimable one
    Then both gateways expect its stop after 2500 ms
    And it was queried 3 times

    Examples:
      | answer                |
      | 200 {"state":"ready"} |
      | 200 [1]               |
      | 503 {}                |

  Scenario: An engine that is not reclaimable is not queried
    Given an engine that reports from the second query on that it stops in 1300 ms
    When it announces to one gateway that it leaves, as an on-demand one
    Then both gateways expect its stop after 2500 ms
    And it was queried 0 times
