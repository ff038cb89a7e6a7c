@gateway
Feature: Limits of client accounts across gateways

  Scenario: A refund at another gateway is applied by the owner
    Given an account owned by another gateway, whose burst is used up
    Then a further request is refused with a time to retry
    When a request that never ran is refunded at this gateway
    Then a further request is admitted

  Scenario: Requests admitted without the owner's response are charged at the owner
    Given an account owned by another gateway, which is slow to respond
    When one gateway admits requests by its share of the limit until it refuses
    Then the owner admits fewer requests by that number

  Scenario: Units that an owner charges are counted by charge
    Given an account owned by another gateway, whose burst is used up
    When a request that never ran is refunded at this gateway
    Then the owner reports 500 admitted, 100 refused and 100 refunded units
