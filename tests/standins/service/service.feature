@replay
Feature: The stand-in service

  Scenario: Executions are counted by key, repeated ones included
    Given a service of two hosts
    When the purchase "k1" is sent to both hosts
    And the purchase "k2" is sent to one host
    Then "k1" was executed 2 times
    And "k2" was executed 1 times
    And an outcome query for "k2" returns its stored response
    And each response identifies its call

  Scenario: A key that was declared not executed is always refused
    Given a service of two hosts
    When an outcome query for "k1" returns status 404
    And the purchase "k1" is sent to one host
    Then the call is refused with status 409
    And "k1" was executed 0 times

  # Status 0 stands for a connection that ends without a response.
  Scenario Outline: A service injects a fault
    Given a service that injects the fault "<fault>"
    When the purchase "k1" is sent to one host
    Then the caller gets status <status>
    And "k1" was executed <times> times

    Examples:
      | fault                 | status | times |
      | die_before_first_byte | 0      | 0     |
      | die_after_execution   | 0      | 1     |
      | answer_late           | 200    | 1     |
      | answer_twice          | 200    | 1     |
      | delay                 | 200    | 1     |
      | refuse                | 503    | 0     |

  Scenario: The faults that a plan selects depend only on its seed
    Then plans of equal seed select equal faults, and plans of other seeds do not
