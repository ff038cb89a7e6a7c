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

  # Guards against a gateway that takes the peers that it knows for all gateways.
  Scenario: A gateway that has just started learns how many gateways there are
    Given a gateway with 3 peers that it has not heard from
    Then it knows 4 gateways and has met 1
    When a digest of peer 1 reports 93 gateways
    Then it knows 93 gateways and has met 2
    And its present peers are 1, 2 and 3

  Scenario: Lost and draining peers are not present, but known
    Given a gateway with 3 peers that it has not heard from
    When a digest of peer 1 reports 4 gateways
    And a digest of peer 2 reports that it is draining
    And peer 1 is declared dead
    Then it knows 4 gateways and has met 3
    And its present peers are 3

  # Guards against waiting for a gateway that stopped before it was ever heard from.
  Scenario: A peer that is lost before its first digest counts as met
    Given a gateway with 3 peers that it has not heard from
    When a digest of peer 1 reports 4 gateways
    And a digest of peer 2 reports 4 gateways
    Then it knows 4 gateways and has met 3
    When peer 3 is declared dead
    Then it knows 4 gateways and has met 4

  Scenario: A gateway counts its seeds until it has had time to find them
    Given a gateway with 0 peers that it has not heard from, and 3 seeds
    Then it knows 3 gateways and has met 1
    And 5.1 s after its start it knows 1 gateways
