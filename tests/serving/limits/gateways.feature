@gateway
Feature: Limits of client accounts over many gateways

  Scenario Outline: Admitted units of no window exceed the limit and tolerated excess
    Given <gateways> gateways with one owner of the limit of an account
    When requests of 17000 tokens arrive at all gateways at <times> times the limit for 40 s
    Then the admitted units of no window of 8 s exceed the limit and the tolerated excess
    And at least <share> of the limit was used

    Examples:
      | gateways | times | share |
      | 9        | 7.5   | 0.95  |
      | 90       | 7.5   | 0.95  |
      | 9        | 0.6   | 0.55  |

  Scenario Outline: The tolerated excess is granted in each window
    Given <gateways> gateways with one owner of the limit of an account
    When requests of 17000 tokens arrive at all gateways at 7.5 times the limit for 40 s
    Then at least 0.4 of the tolerated excess was used in addition to the limit

    Examples:
      | gateways |
      | 9        |

  Scenario: A change of owner after a full burst stays within the tolerated excess
    Given 9 gateways with one owner of the limit of an account
    When the owner changes at 12.0 s and requests arrive at 7.5 times the limit
    Then the admitted units of no window of 8 s exceed the limit and the tolerated excess

  Scenario: A request that did not run is refunded
    Given 9 gateways with one owner of the limit of an account
    When large requests have exhausted the limit and one of them is refunded
    Then a request of 17000 tokens is admitted and a second one is not

  Scenario: Requests of an account below its limit are not refused
    Given 9 gateways with one owner of the limit of an account
    When requests of 17000 tokens arrive at all gateways at 0.6 times the limit for 40 s
    Then no request was refused

  Scenario: Small requests are admitted after large ones have exhausted the limit
    Given 9 gateways with one owner of the limit of an account
    When large requests have exhausted the limit
    Then a request of 200 tokens is admitted and a request of 17000 tokens is not

  Scenario: All gateways select the same owner of an account
    Then any gateways select the same owner, also after another gateway has left

  Scenario: An owner that sees half of the gateways grants half of the rate
    Given an owner that sees half of the gateways
    Then the owner grants half of the rate

  Scenario: Shares by demand follow the demand and add up to the limit
    Given 9 gateways that know each other's demand
    When one gateway receives all requests
    Then its share is more than 0.8 of the limit, and all shares add up to 1
