@gateway
Feature: Metrics of a gateway

  # Guards against scrapes that are cut to their first 4 KB and lack the gauges.
  Scenario: The first 4 KB of a scrape contain all gauges and counters
    Given a gateway that has served requests of each outcome
    Then the first 4096 bytes of its metrics contain each gauge and counter

  # Guards against streams whose end can't be told apart from the stop of their engine.
  Scenario: Complete streams are counted by how they were delimited
    Given a gateway whose engine sends complete streams with a length, in chunks and neither
    And an engine that breaks a chunked stream off
    When each stream is requested once
    Then its metrics count one stream each as length, chunked and close, none as moved
