@control
Feature: The active control process gives orders

  Scenario Outline: No two effective orders for one engine in any schedule
    When 15 seeded schedules run against engines that <engines> fencing numbers
    Then no engine carried out an order that was not its one open order recorded
    And several terms went on from orders that others recorded
    And all engines reach the last version once the disturbances end

    Examples:
      | engines |
      | check   |
      | ignore  |

  Scenario: A holder that sends without looking at its clock again is found out
    Then schedules find a holder that sends without looking at its clock again

  Scenario: A control process orders a stand-in engine over HTTP
    Given a stand-in engine that runs version "1" and a control process
    When settings with version "2" are accepted
    Then the engine carries out one load of version "2" and no record is left
    When the control process stops and another one takes over
    And settings with version "3" are accepted
    Then the engine carries out one load of version "3" and no record is left
    And the engine saw growing fencing numbers
