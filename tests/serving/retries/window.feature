@gateway
Feature: Retry budget of a service over all gateways

  Scenario: No sliding window of any gateways gets more repeats than stated
    Then for any requests at 1 to 30 gateways no window breaks the budget

  Scenario: A service without requests still gets its allowance
    Given 9 gateways and a budget of 60 repeats in 10 s
    Then a gateway without requests may repeat 4 times in a window
