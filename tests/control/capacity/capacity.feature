@control
Feature: The active control process holds hosts at the cloud

  Scenario: Hosts are held within bounds and over zones, and given back unwanted
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    When the load is 0 for 1 minutes
    Then 2 hosts in 2 zones are held
    When the load is 24 for 3 minutes
    Then 4 to 6 hosts are held, in at least 3 zones
    When the load is 0 for 20 minutes
    Then 2 hosts in 2 zones are held
    And each host given back was drained before

  Scenario: Refused starts are bridged by on-demand hosts within their bound
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    When reclaimable starts are refused and the load is 24 for 3 minutes
    Then 2 hosts are on demand and none is reclaimable
    And no kind of host was asked for more than 8 times

  Scenario: A holder that dies at any call leaves no host twice or forgotten
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    Then at whatever call the holder dies, the next one ends with 2 hosts

  Scenario: A holder that starts without a record leaves a host that nobody wants
    Given a service of 2 to 6 hosts and a cloud of 4 zones
    Then starts without a record are found out
