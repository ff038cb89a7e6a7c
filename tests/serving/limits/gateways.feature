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

  # Guards against owners that each start with units that the one before has granted.
  Scenario Outline: Repeated changes of owner stay within the tolerated excess
    Given 9 gateways with one owner of the limit of an account
    When 40 gateways in turn own the account for <each> s each
    Then the admitted units of no window of 8 s exceed the limit and the tolerated excess

    Examples:
      | each |
      | 0.2  |
      | 0.8  |
      | 3.0  |

  Scenario: The first requests of an account that was just added are not refused
    Given 9 gateways with one owner of the limit of an account
    When a configuration adds the account "new"
    Then a request of 17000 tokens of the account "new" is admitted at once

  # Guards against parts that grow with a gateway's own demand, or for which a request
  # larger than the part is admitted.
  Scenario Outline: Gateways without the owner admit no more than the reserve together
    Given <gateways> gateways that each hold a part of the reserve
    When requests of 200 tokens arrive at each of them without end
    Then in no window of 8 s they admit more than the reserve, and at least half of it
    And none of them admits a request of 17000 tokens

    Examples:
      | gateways |
      | 9        |
      | 90       |

  Scenario: A gateway that does not know its peers has no part of the reserve
    Then a gateway that does not know how many there are admits nothing
