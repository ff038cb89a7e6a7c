@gateway
Feature: Limits of client accounts between gateways

  Scenario: What another gateway gives back counts at the owner
    Given an account whose owner is another gateway, which has given its burst out
    Then a request that asks there gets a time to return
    When one that never ran is given back here
    Then a request that asks there is admitted
