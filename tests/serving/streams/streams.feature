@requests
Feature: Assembly of token streams

  Scenario: The caller gets each token once for any order of chunks
    Then streams with lost engines and late, repeated and foreign chunks are complete

  Scenario: Accepting chunks of earlier attempts (injected defect) is detected
    Given an assembler that accepts chunks of any attempt
    Then streams with lost engines and late, repeated and foreign chunks are incomplete

  Scenario: A stream resumes after its last delivered token and counts recomputation
    Given a stream that delivered "a b c " as 3 tokens
    When its engine is lost by RECLAIM
    Then attempt 2 resumes from 3 with "a b c "
    And a chunk of attempt 1 is discarded as late
    And 5 recomputed tokens are counted for RECLAIM

  Scenario: Too many chunks after a gap end the attempt
    Given a stream that delivered "a b c " as 3 tokens
    Then 65 chunks after a gap end the attempt

  Scenario: Time without an event is limited before the first token and between tokens
    Then with targets of 330 ms and 62 ms the limits are 16.5 and 3.1 seconds
    And no limit exceeds the time until the deadline
