@control
Feature: The active control process sends orders to engines

  Scenario Outline: No engine executes two competing orders in any schedule
    When 15 seeded schedules run against engines that <engines> fencing numbers
    Then no engine executes an order other than its recorded open order
    And the schedules average more than 3 terms and 3 executed orders
    And all engines reach the last version once the faults end

    Examples:
      | engines |
      | check   |
      | ignore  |

  Scenario: The injected defect of a holder that ignores the send deadline is found
    Then some schedule with holders that ignore the send deadline has a violation

  Scenario: A control process that is isolated for an hour has no effect on engines
    Given two control processes and engines that ignore fencing numbers
    When the holder is isolated for an hour while 18 versions are accepted
    Then only orders of the other control process were executed and the last version runs
    When the isolated control process reconnects and another version is accepted
    Then the reconnected control process is not the holder and the last version runs

  Scenario: A control process sends orders to a stand-in engine over HTTP
    Given a stand-in engine that runs version "1" and a control process
    When settings with version "2" are accepted
    Then the engine accepts one load order for version "2" and no record is left
    When the control process stops and another one takes over
    And settings with version "3" are accepted
    Then the engine accepts one load order for version "3" and no record is left
    And the engine received increasing fencing numbers
