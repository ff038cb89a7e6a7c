@gateway
Feature: Digests of a large deployment

  Scenario: Digests to many gateways leave a few at a time, each with its time
    Given a gateway that knows 92 others
    When it runs for 0.7 s
    Then 4 digests at most left at once, and each other gateway got one
    And each tells the time at which it was sent

  Scenario: Those that a digest did not reach in time get the next one first
    Given a gateway that knows 92 others
    When it runs for 0.4 s and its next digest is due
    Then within 0.3 s those that got none have got one

  Scenario: What a full link drops at the end of a queue is not always the same
    Given a gateway that knows 92 others
    When it runs for 8 s
    Then no other gateway was in the last fifth of more than half of the digests

  Scenario: In a stop all are told at once
    Given a gateway that knows 92 others
    When it tells at once that it stops
    Then each other gateway got one within a tick
