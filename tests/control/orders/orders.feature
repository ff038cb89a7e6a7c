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

  Scenario: A control process that is isolated for an hour stays without effect
    Given two control processes and engines that ignore fencing numbers
    When the holder is isolated for an hour while 18 versions are accepted
    Then only the other one's orders had an effect and the last version runs
    When the isolated one comes back and a further version is accepted
    Then the isolated one holds nothing and the last version runs

  Scenario: A control process orders a stand-in engine over HTTP
    Given a stand-in engine that runs version "1" and a control process
    When settings with version "2" are accepted
    Then the engine carries out one load of version "2" and no record is left
    When the control process stops and another one takes over
    And settings with version "3" are accepted
    Then the engine carries out one load of version "3" and no record is left
    And the engine saw growing fencing numbers
