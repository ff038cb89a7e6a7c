@control
Feature: The active control process starts and releases hosts

  Scenario: Hosts follow the load within the bounds, are spread over zones and drained
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    When the load is 0 for 1 minutes
    Then 2 hosts in 2 zones are held
    When the load is 24 for 3 minutes
    Then 4 to 6 hosts are held, in at least 3 zones
    When the load is 0 for 20 minutes
    Then 2 hosts in 2 zones are held
    And each released host was drained before

  Scenario: On-demand hosts replace refused reclaimable hosts up to their maximum
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    When reclaimable starts are refused and the load is 24 for 3 minutes
    Then 2 hosts are held, all of them on-demand hosts
    And at most 8 starts were requested for any zone and market

  Scenario: Hosts without a start request are never released
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    And 5 running hosts without a start request
    When the load is 0 for 20 minutes
    Then 5 hosts in 4 zones are held

  Scenario: A crash at any call neither duplicates nor loses a host
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    Then after a crash at any call, the next lease holder ends with 2 hosts

  Scenario: The injected defect of starts without a record is found
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    Then some crash of a holder without records ends with a wrong number of hosts
