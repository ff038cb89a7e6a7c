@gateway
Feature: Retry budget of a service over all gateways

  Scenario: Retries of no sliding window over all gateways exceed the budget
    Then for any requests at 1 to 30 gateways no window exceeds the retry budget

  Scenario: A service without requests still has its allowance of retries
    Given 9 gateways and a budget of 60 retries in 10 s
    Then a gateway without requests may retry 4 times in a window
