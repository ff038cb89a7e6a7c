@soak
Feature: Gateways under faults from outside

  Scenario Outline: A short run keeps all promises: seed <seed>
    When seed <seed> is played for <length_s> s
    Then no promise was broken

    Examples:
      | seed | length_s |
      | 1    | 15       |
