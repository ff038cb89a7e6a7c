@gateway
Feature: Digests of a large deployment

  Scenario: Digests to many gateways leave a few at a time, each with its time
    Given a gateway that knows 92 others
    When it ticks for 0.8 s
    Then 16 digests at most left at one tick, and each other gateway got one
    And each tells the time at which it was sent

  Scenario: Those that a digest did not reach in time get the next one first
    Given a gateway that knows 92 others
    When it ticks for 0.4 s and its next digest is due
    Then within 0.3 s those that got none have got one

  Scenario: In a stop all are told at once
    Given a gateway that knows 92 others
    When it tells at once that it stops
    Then each other gateway got one within a tick
