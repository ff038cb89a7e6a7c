@gateway
Feature: Limits of client accounts across gateways

  Scenario: A refund at another gateway is applied by the owner
    Given an account owned by another gateway, whose burst is used up
    Then a further request is refused with a time to retry
    When a request that never ran is refunded at this gateway
    Then a further request is admitted

  Scenario: Requests admitted without the owner's response are charged at the owner
    Given an account owned by another gateway, which is slow to respond
    When one gateway admits requests from its reserve until it refuses
    Then the owner admits fewer requests by that number

  Scenario: Units that an owner charges are counted by charge
    Given an account owned by another gateway, whose burst is used up
    When a request that never ran is refunded at this gateway
    Then the owner reports 1000 admitted, 100 refused and 100 refunded units

  # Guards against shares of a limit that add up to more than the limit: each gateway
  # whose call to the owner failed took most of the limit for itself.
  Scenario Outline: Gateways whose calls to the owner fail stay within the limit together
    Given 93 gateways, of whose frames <late> are up to <delay> s late
    When requests arrive at all gateways at 3.3 times the limit for 12 s
    Then the admitted units of no window of 8 s exceed the limit and the tolerated excess
    And at least <used> of the limit was used

    Examples: late frames
      | late | delay | used |
      | 0.0  | 0.0   | 0.95 |
      | 0.2  | 0.3   | 0.5  |

  Scenario: Gateways whose calls to the owner mostly time out stay within the limit
    Given 93 gateways, of whose frames 1.0 are up to 1.0 s late
    When requests arrive at all gateways at 3.3 times the limit for 12 s
    Then the admitted units of no window of 8 s exceed the limit and the tolerated excess

  # Guards against the same while the owner is stopped and its peers have not yet noticed.
  Scenario: Gateways whose owner is stopped for 4 s stay within the limit together
    Given 93 gateways, the owner of the limit being stopped from 2 to 6 s
    When requests arrive at all gateways at 3.3 times the limit for 12 s
    Then the admitted units of no window of 8 s exceed the limit and the tolerated excess

  # Guards against several owners of one limit, each of which grants all of it.
  Scenario Outline: Gateways that see different peers stay within the limit together
    Given 93 gateways that each do not see <unseen> of their peers, others each 0.8 s
    When requests arrive at all gateways at 3.3 times the limit for 12 s
    Then the admitted units of no window of 8 s exceed the limit and the tolerated excess

    Examples: differing views
      | unseen |
      | 0.02   |
      | 0.2    |
      | 0.5    |

  Scenario: Requests at a gateway that does not reach the owner are charged through another
    Given three gateways, of which one does not reach the owner of an account
    When requests arrive at all gateways at 0.5 times the limit for 12 s
    Then 0.95 of the requested units were admitted

  # Guards against a gateway that has just started and takes itself for the only one.
  Scenario: A gateway that has not heard from its peers owns no limit
    Given a gateway that has heard from 1 of 3 gateways and selects itself as owner
    Then it admits no request of the account and says that the owner does not respond
    And it admits requests of the account after it has heard from all gateways

  # Guards against two owners while one drains: it would grant its own callers the rate
  # that the next owner grants, too.
  Scenario: A draining gateway leaves its limits to its peers
    Given a gateway that owns the limit of an account and has a peer
    When it starts to drain
    Then it asks its peer to charge a request of the account
    And it owns no limit

  # Guards against units that an owner gains while it is suspended and another one grants.
  Scenario: An owner that was suspended starts anew
    Given a gateway that owns the limit of an account and has a peer
    When it notices that it was suspended
    Then it owns the limit, with no units left

  # Guards against an owner that takes an account without a known limit for unlimited.
  Scenario: An owner that has no configuration yet grants nothing to its peers
    Given a gateway that owns the limit of an account and has a peer
    When a peer asks it to charge a request of an account that it does not know
    Then it responds that it does not know the limit

  # Guards against a retry budget that each gateway divides by the peers that it knows.
  Scenario Outline: Gateways that know few of their peers stay within a retry budget
    Given 93 gateways that know <known> gateways, have met <met> and see 3 peers
    When each of them retries as often as it may
    Then all of them together make at most 60 retries

    Examples:
      | known | met |
      | 4     | 1   |
      | 93    | 4   |
      | 93    | 93  |
