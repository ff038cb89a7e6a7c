@gateway
Feature: Backend servers that state that they are brittle do not fall over

  # Guards against gateways that fill a backend server until it rejects many requests.
  Scenario: Brittle backend servers under more than they can serve
    Given 6 gateways and 4 backend servers that bear 2 rejections a second
    When they become brittle for 12 s under 70 purchases a second
    Then at most 2 of them fall over
    And they run at least half of what they can

  # Guards against slots that add up over many gateways.
  Scenario Outline: <count> gateways before <slots> slots, of which <room> have room
    Given <count> gateways before <slots> slots, of which <room> have room
    When requests arrive at three times what it serves for 30 s
    Then it rejects at most <most> in any second
    And it serves at least <share> of what it can

    Examples:
      | count | slots | room | most | share |
      | 9     | 6     | 6    | 0    | 0.5   |
      | 9     | 64    | 64   | 0    | 0.7   |
      | 93    | 64    | 64   | 0    | 0.5   |
      | 200   | 64    | 64   | 0    | 0.4   |
      | 9     | 64    | 48   | 8    | 0.1   |

  Scenario: The slots of a backend server are divided among the gateways
    Then own slots of 9, 93 and 200 gateways add up to 6 and 64

  Scenario: A statement ends when later responses do not repeat it
    Given a gateway that knows that a service is brittle
    When a response to an earlier request does not state it
    Then the service is brittle
    When a response to a later request does not state it
    Then the service is not brittle
