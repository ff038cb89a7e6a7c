@gateway
Feature: Calls to the cloud API that only one gateway at a time makes

  Scenario: The next holder reports a window with the committed counts
    Given a holder that committed and reported 5 requests of a window
    When the holder crashes and the next one counted 4 requests of that window
    Then both reports of the window are the same

  Scenario: A report whose response was lost is repeated unchanged
    Given a holder whose report got no response
    When the holder counts 2 more requests of the window and reports again
    Then both reports of the window are the same

  Scenario: A new holder waits until the previous one can no longer act
    Given a holder that committed and reported 5 requests of a window
    When the holder crashes and the next one acquires the lease
    Then the next holder has a larger fencing number and may not call the cloud API yet
    And the next holder may call once the previous lease, the cloud's bound and the longest call are over

  Scenario: A holder whose lease was not renewed may not call the cloud API
    Given a holder that committed and reported 5 requests of a window
    Then the holder may not call the cloud API 2.4 s after its last renewal

  Scenario: A gateway that is shutting down releases the lease
    Given a holder that committed and reported 5 requests of a window
    When the process of the holder starts to drain
    Then the lease is free and the process may not call the cloud API

  # Guards against orders by the constant where engines report their speed, and by
  # measurements where they do not.
  Scenario Outline: 20 engines serve half of the tokens from their cache and report <report>
    Given a holder whose 20 engines report <report>
    When 200 generations were served in time, and 160000 tokens a second are requested
    Then <least> to <most> engines are ordered

    Examples:
      | report        | least | most |
      | three figures | 10    | 10   |
      | four figures  | 5     | 7    |
