@requests
Feature: Streams

  Scenario: Whatever order chunks come in, the caller gets each token once
    Then streams over lost engines with late, repeated and foreign chunks are whole

  Scenario: The planted fault of taking late chunks is found
    Given an assembler that takes chunks of any attempt
    Then streams over lost engines with late, repeated and foreign chunks are not whole

  Scenario: A stream is resumed after its last delivered token and counts by cause
    Given a stream that delivered "a b c " as 3 tokens
    When its engine is lost by RECLAIM
    Then attempt 2 resumes from 3 with "a b c "
    And a chunk of attempt 1 is dropped as late
    And 5 recomputed tokens are counted for RECLAIM

  Scenario: A gap that stays open ends the attempt
    Given a stream that delivered "a b c " as 3 tokens
    Then 65 chunks after a gap end the attempt

  Scenario: Silence before and between tokens has its own limit
    Then with targets of 330 ms and 62 ms the limits are 16.5 and 3.1 seconds
    And no limit goes past the deadline
