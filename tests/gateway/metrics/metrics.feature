@gateway
Feature: Metrics of a gateway

  # Guards against scrapes that are cut to their first 4 KB and lack the gauges.
  Scenario: The first 4 KB of a scrape contain all gauges and counters
    Given a gateway that has served requests of each outcome
    Then the first 4096 bytes of its metrics contain each gauge and counter
