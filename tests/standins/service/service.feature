@replay
Feature: The stand-in service

  Scenario: Executions are counted per key, also doubled ones
    Given a service of two hosts
    When the purchase "k1" is sent to both hosts
    And the purchase "k2" is sent to one host
    Then "k1" was executed 2 times
    And "k2" was executed 1 times
    And the outcome of "k2" is its stored answer
    And each answer names its own call

  Scenario: A key that was declared not executed is refused for ever
    Given a service of two hosts
    When the outcome of "k1" is asked for
    And the purchase "k1" is sent to one host
    Then the call is refused
    And "k1" was executed 0 times

  Scenario Outline: Planned faults of a service
    Given a service with the fault "<fault>"
    When the purchase "k1" is sent to one host
    Then the caller sees status <status>
    And "k1" was executed <times> times

    Examples:
      | fault                 | status | times |
      | die_before_first_byte | 0      | 0     |
      | die_after_execution   | 0      | 1     |
      | answer_late           | 200    | 1     |
      | answer_twice          | 200    | 1     |
      | delay                 | 200    | 1     |
      | refuse                | 503    | 0     |

  Scenario: A plan of faults depends on its seed only
    Then plans of equal seed choose equally and of other seeds differently
