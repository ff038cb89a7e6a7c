@gateway
Feature: Use of the shared price of engine time by one gateway

  Scenario: Services whose backend servers report no pace are admitted as before
    # Guards against a price that takes effect where nothing asks for it.
    Given a gateway whose engine has 2000 prompt tokens to read
    And peers that ask for 50 engine seconds a second at priority 0
    When a caller posts a prompt
    Then it gets 200
    And the gateway's digest has no price

  Scenario: A request below the price is refused at once, with a Retry-After
    # Guards against refusals after a wait, or without a time to come again.
    Given a gateway whose engine has 2000 prompt tokens to read
    And the service reports its pace
    And peers that ask for 50 engine seconds a second at priority 0
    When a caller posts a prompt
    Then it gets 503 with Retry-After within 0.05 s
    And the log names the reason "price"

  Scenario: The priority of the client account counts before the route's
    # Guards against a price that is compared with the route's priority only.
    Given a gateway whose engine has 2000 prompt tokens to read
    And the service reports its pace
    And the client account has priority 0
    And peers that ask for 50 engine seconds a second at priority 1
    When a caller posts a prompt
    Then it gets 200

  Scenario: Nothing is refused while the engine is idle
    # Guards against a price that outlives the scarcity.
    Given a gateway whose engine has 0 prompt tokens to read
    And the service reports its pace
    And peers that ask for 50 engine seconds a second at priority 0
    When a caller posts a prompt
    Then it gets 200

  Scenario Outline: Digests that must not set the price do not
    # Guards against a price from old, absurd or unknown reports.
    Given a gateway whose engine has 2000 prompt tokens to read
    And the service reports its pace
    And peers that ask for 50 engine seconds a second at priority 0, <fault>
    When a caller posts a prompt
    Then it gets 200

    Examples:
      | fault                       |
      | 10 s ago                    |
      | with a demand that is NaN   |
      | of the previous release     |

  Scenario: Peers learn the demand and the price
    # Guards against fields that are not sent, or not applied.
    Given a gateway whose engine has 0 prompt tokens to read
    And the service reports its pace
    When a caller posts a prompt
    Then a peer that gets its digest knows the demand of the caller's account

  Scenario: A request that waits is not refused by a price that rises
    # Guards against refusals after a wait of more than 50 ms.
    Given a gateway whose engine has 0 prompt tokens to read
    And the service reports its pace
    And all slots of the engine are taken for 0.3 s
    When a caller posts a prompt and the price rises meanwhile
    Then it gets 200

  Scenario: The most urgent of the waiting requests is sent first
    # Guards against waiting requests that are sent in any order.
    Given a gateway whose engine has 0 prompt tokens to read
    And the service reports its pace
    Then waiting requests of priority 2, 0 and 1 are woken as 0, 1 and 2
