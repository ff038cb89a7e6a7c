@requests
Feature: Drafts and streams through real entry hosts and engines

  Scenario: Patient drafts are collected from another entry host, and cancelled
    Given 2 entry hosts
    And 1 engine
    When a patient draft is sent to the first host to be collected later
    Then the draft's complete response is collected from the second host
    And a second draft can be cancelled and is cancelled at its engine
    And an unknown key is not found

  Scenario: A disconnect of the caller cancels a draft at the engine, but not a patient draft
    Given 1 entry host
    And 1 engine
    When a caller disconnects during a draft
    Then the engine has cancelled the draft
    When a caller disconnects during a draft with an idempotency key
    Then the response is stored and returned for the key

  Scenario Outline: A stream is complete although its engine fails
    Given 1 entry host
    And 3 engines of which the first injects "<fault>" into each request
    When 12 drafts are streamed
    Then each stream is complete and has each token once
    And the first engine injected its fault

    Examples:
      | fault                 |
      | die_before_first_byte |
      | die_mid_answer        |
      | stall                 |
      | wrong_request_id      |

  Scenario: Streams are complete after two reclaims in a row
    Given 1 entry host
    And 4 engines
    When 8 drafts are streamed and two engines are reclaimed one after the other
    Then each stream is complete and has each token once
    And the recomputed tokens are counted for "reclaim"

  Scenario: A graceful stop completes running streams
    Given 2 entry hosts
    And 1 engine
    And 1 seat service
    When the first host is stopped while 6 drafts are streamed there
    Then each stream is complete and has each token once
    And a purchase sent meanwhile is refused as not run with a retry delay
    And the stop left 0 requests unfinished
