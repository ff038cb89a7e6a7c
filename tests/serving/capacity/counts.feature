@gateway
Feature: Number of engines to order by zone and market

  Scenario: Reclaimable engines replace on-demand ones once they are ready
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When 60000 tokens a second are requested for 20 s
    Then 1 on-demand and 4 to 6 reclaimable engines are ready, in all zones
    And at no time fewer than 3 engines were ready

  Scenario: The reclaimable engines of two zones are reclaimed and none are available
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When 90000 tokens a second are requested for 20 s
    And two zones are reclaimed and no reclaimable engines are available for 15 s
    Then within 6 s 4 engines are ready again
    And after 20 s more 1 on-demand engine is left

  Scenario: All zones are reclaimed under a demand that uses them fully
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When 220000 tokens a second are requested for 20 s
    And all zones are reclaimed and no reclaimable engines are available for 15 s
    Then within 6 s 9 engines are ready again

  Scenario: A short drop in demand releases no engine
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When 100000 tokens a second are requested for 20 s
    And 20000 tokens a second are requested for 3 s
    Then as many engines as before are ready

  Scenario: Orders stay within the limits of each zone
    Then for any demand, limits and ready engines the orders are within the zone limits

  Scenario: Booting engines are not ordered again in another zone
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When 100000 tokens a second are requested for 20 s
    And all zones are reclaimed and no reclaimable engines are available for 15 s
    Then no order of a booting on-demand engine is cancelled within 6 s

  Scenario: The demands at all gateways add up and decay
    Given 9 gateways that get requests for 10000 tokens a second each for 10 s
    Then their total is 85000 to 95000 tokens a second, and less than 100 after 20 s

  Scenario: Before the first request the account limits determine the expected demand
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When there is no request for 12 s and limits allow 120000 tokens a second
    Then 7 or more engines are ready

  Scenario: Before the first request on-demand engines are released without delay
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When there is no request for 5 s and limits allow 60000 tokens a second
    Then 1 on-demand and 4 to 6 reclaimable engines are ready, in all zones

  Scenario: No on-demand engine is ordered while reclaimable ones are available
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When there is no request for 16 s and limits allow 160000 tokens a second
    Then at no time more than 5 on-demand engines were ready
    And 1 on-demand and 9 to 10 reclaimable engines are ready, in all zones

  Scenario: On-demand engines are released one at a time under load
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When 90000 tokens a second are requested for 20 s
    And all zones are reclaimed and no reclaimable engines are available for 15 s
    And 90000 tokens a second are requested for 40 s
    Then no two on-demand engines were released within 0.9 s
    And after 20 s more 1 on-demand engine is left

  Scenario: While no reclaimable engines are available another zone may be lost
    Given a cloud with 4 zones, 5 on-demand engines and reclaimable ones at 0.22
    When 90000 tokens a second are requested for 20 s
    And one zone is reclaimed and no reclaimable engines are available for 15 s
    And 90000 tokens a second are requested for 6 s
    And another zone is reclaimed
    Then at least 5 engines are ready at once

  Scenario: Without reclaimable engines on-demand engines meet the demand
    Given a cloud with 4 zones, 5 on-demand engines and none reclaimable
    When 70000 tokens a second are requested for 20 s
    Then 5 on-demand engines are ready

  # Guards against on-demand engines, at several times the price, in place of reclaimable
  # ones that no zone offers after a reclaim.
  Scenario: Cheap reclaimable engines are held for the loss of two zones
    Given a cloud with 4 zones, 5 on-demand engines and spare reclaimable ones at 0.15
    When 90000 tokens a second are requested for 20 s
    And two zones are reclaimed and no reclaimable engines are available for 15 s
    Then at least 5 engines are ready at once
    And no on-demand engine is ordered or left within 15 s
    And in these 15 s the cost is below 0.5 of that without spares

  Scenario: On-demand engines fill what the spares lack, and are released afterwards
    Given a cloud with 4 zones, 5 on-demand engines and spare reclaimable ones at 0.15
    When 90000 tokens a second are requested for 20 s
    And all zones are reclaimed and no reclaimable engines are available for 15 s
    Then within 6 s 5 engines are ready again
    And after 30 s more no on-demand engine is left

  Scenario Outline: Spares are held only where they cost less than on-demand engines
    Then spares at <price> in <zones> zones are <held>

    Examples:
      | price | zones | held     |
      | 0.15  | 4     | held     |
      | 0.25  | 4     | held     |
      | 0.3   | 4     | not held |
      | 0.15  | 2     | not held |
      | 0     | 4     | not held |
