@gateway
Feature: Departures of backend servers bind all gateways within the bound for draining

  # Guards against requests at a leaving backend server whose update was lost.
  Scenario Outline: Gateways learn of a departure whose updates are lost (<change>)
    Given 4 gateways with a disk and 8 without, which know the backend server "i-1"
    And other backend servers <change>
    When "i-1" withdraws at "g6", whose datagrams are lost for 0.8 s
    Then it is acknowledged within 1 s
    And within the bound for draining no gateway selects "i-1"

    Examples:
      | change                           |
      | stay                             |
      | come and go each 0.5 s for 1.6 s |
      | come and go each 0.5 s for 3.2 s |
      | come and go each 0.5 s for 4.8 s |

  # Guards against a departure that only its acknowledging gateway knows.
  Scenario: Gateways learn of a departure that was acknowledged by a gateway that dies
    Given 4 gateways with a disk and 8 without, which know the backend server "i-1"
    And other backend servers come and go each 0.5 s for 1.6 s
    When "i-1" withdraws at "g6", whose datagrams are lost until it is killed after its response
    Then it is acknowledged within 1 s
    And within the bound for draining no gateway selects "i-1"

  # Guards against an acknowledgment by a gateway that can't tell any other one.
  Scenario: A gateway that reaches no peer refuses a departure in time for another try
    Given 4 gateways with a disk and 8 without, which know the backend server "i-1"
    And other backend servers stay
    When "i-1" withdraws at "g6", which reaches no peer
    Then it gets status 503 within 1 s
    When "i-1" withdraws at "g7"
    Then it is acknowledged within 1 s
    And within the bound for draining no gateway but "g6" selects "i-1"
