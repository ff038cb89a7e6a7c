@gateway
Feature: Retry budget of a service over all gateways

  Scenario: No sliding window over all gateways exceeds the retry budget
    Then for any requests at 1 to 30 gateways no window exceeds the budget

  Scenario: A service without requests still has its allowance
    Given 9 gateways and a budget of 60 retries in 10 s
    Then a gateway without requests may retry 4 times in a window
