@gateway
Feature: Limits of client accounts across gateways

  Scenario: A refund at another gateway is applied by the owner
    Given an account owned by another gateway, whose burst is used up
    Then a further request is refused with a time to retry
    When a request that never ran is refunded here
    Then a further request is admitted

  Scenario: Requests admitted without the owner's answer are charged at the owner
    Given an account owned by another gateway, which is slow to answer
    When one gateway admits requests by its share of the limit until it refuses
    Then the owner admits as many fewer
