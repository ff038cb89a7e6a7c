@gateway
Feature: When reclaimed backend servers end

  Scenario: A reclaimed engine is asked when it ends, and all gateways learn it
    Given an engine that knows at the second question that it ends in 1300 ms
    When it announces to one gateway that it leaves, as one that is reclaimed
    Then both gateways expect its end after 1300 ms, not after the usual 2500 ms
    And its streams are due to move after 0.2 s and not before
    When it announces again that it leaves
    Then both gateways expect its end after 1300 ms, not after the usual 2500 ms

  Scenario: A reclaimed engine that only withdraws is asked, too
    Given an engine that knows at the second question that it ends in 1300 ms
    When it withdraws at one gateway, as one that is reclaimed
    Then both gateways expect its end after 1300 ms, not after the usual 2500 ms

  Scenario Outline: An engine that does not tell keeps its usual time
    Given an engine that answers questions with <answer>
    When it announces to one gateway that it leaves, as one that is reclaimed
    Then both gateways expect its end after 2500 ms
    And it was asked 3 times

    Examples:
      | answer                |
      | 200 {"state":"ready"} |
      | 200 [1]               |
      | 503 {}                |

  Scenario: An engine that is given back is not asked
    Given an engine that knows at the second question that it ends in 1300 ms
    When it announces to one gateway that it leaves, as one that can't be reclaimed
    Then both gateways expect its end after 2500 ms
    And it was asked 0 times
