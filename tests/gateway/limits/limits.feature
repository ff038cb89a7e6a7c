@gateway
Feature: Limits of client accounts between gateways

  Scenario: What another gateway gives back counts at the owner
    Given an account whose owner is another gateway, which has given its burst out
    Then a request that asks there gets a time to return
    When one that never ran is given back here
    Then a request that asks there is admitted

  Scenario: What is let in without a slow owner is counted there
    Given an account whose owner is another gateway, which is slow to answer
    When one gateway lets requests in by its part until it refuses
    Then the owner lets in less by as many
