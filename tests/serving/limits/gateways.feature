@gateway
Feature: Limits of client accounts over many gateways

  Scenario Outline: No window gets more than the limit and what is tolerated
    Given <gateways> gateways that share the limits of one account by an owner
    When requests of 17000 tokens come to all at <times> times the limit for 40 s
    Then no window of 8 s gets more than the rule allows
    And at least <share> of the limit was used

    Examples:
      | gateways | times | share |
      | 9        | 7.5   | 0.95  |
      | 90       | 7.5   | 0.95  |
      | 9        | 0.6   | 0.55  |

  Scenario Outline: What is tolerated in each window is given out in each window
    Given <gateways> gateways that share the limits of one account by an owner
    When requests of 17000 tokens come to all at 7.5 times the limit for 40 s
    Then at least 0.4 of what is tolerated in each window was used besides the limit

    Examples:
      | gateways |
      | 9        |

  Scenario: A new owner after the old one has given everything out keeps the rule
    Given 9 gateways that share the limits of one account by an owner
    When the owner changes at 12.0 s and requests come at 7.5 times the limit
    Then no window of 8 s gets more than the rule allows

  Scenario: A request that never ran is not charged
    Given 9 gateways that share the limits of one account by an owner
    When large requests have used the limit up and one of them is given back
    Then a request of 17000 tokens passes and one more does not

  Scenario: Below its limit an account is not refused
    Given 9 gateways that share the limits of one account by an owner
    When requests of 17000 tokens come to all at 0.6 times the limit for 40 s
    Then none was refused

  Scenario: Small requests pass while large ones have used the limit up
    Given 9 gateways that share the limits of one account by an owner
    When large requests have used the limit up
    Then a request of 200 tokens passes and one of 17000 does not

  Scenario: All gateways agree on an owner, and an owner that goes has a successor
    Then for any gateways all agree on an owner, and others stay when one goes

  Scenario: An owner that sees half of the gateways gives out half
    Given an owner that sees half of the gateways
    Then it gives out half of the rate

  Scenario: Parts by demand follow the demand and add up to the limit
    Given 9 gateways that know each other's demand
    When one of them gets all requests
    Then it has more than 0.8 of the limit, and all parts add up to 1
