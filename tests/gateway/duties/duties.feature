@gateway
Feature: Calls to the cloud API that one gateway at a time makes

  Scenario: The next holder reports a window with the counts that were committed
    Given a holder that committed and reported 5 requests of a window
    When it dies and the next holder counted 4 requests of that window
    Then both reports of the window are the same

  Scenario: A report whose answer was lost is repeated unchanged
    Given a holder whose report had no answer
    When it counts 2 more requests of the window and reports again
    Then both reports of the window are the same

  Scenario: A new holder waits until the one before it can't act any more
    Given a holder that committed and reported 5 requests of a window
    When it dies and the next holder has the lease
    Then the next holder has a larger number and may not act at once
    And it may act once the earlier lease, the cloud's bound and the longest call are over

  Scenario: A holder whose lease was not renewed may not act
    Given a holder that committed and reported 5 requests of a window
    Then it may not act 2.4 s after its last renewal

  Scenario: A gateway that was told to stop gives the lease back
    Given a holder that committed and reported 5 requests of a window
    When it is told to stop
    Then the lease is free and it may not act
