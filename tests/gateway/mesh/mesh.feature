@gateway
Feature: Sending digests in a large deployment

  Scenario: A digest is sent in small batches, each with its send time
    Given a gateway with 92 peers
    When the gateway runs for 0.7 s
    Then at most 4 digests are sent at once, and each peer gets one
    And each digest contains the time at which it was sent

  Scenario: Peers that did not get a digest get the next one first
    Given a gateway with 92 peers
    When the gateway runs for 0.4 s and its next digest is due
    Then within 0.3 s each peer without a digest gets one

  Scenario: The last recipients, whose datagrams an overloaded link drops, change
    Given a gateway with 92 peers
    When the gateway runs for 8 s
    Then no peer is among the last fifth of recipients of more than half of the digests

  Scenario: A stopping gateway informs all peers immediately
    Given a gateway with 92 peers
    When the gateway announces immediately that it stops
    Then each peer gets a digest within one batch interval
