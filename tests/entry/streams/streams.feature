@requests
Feature: Drafts and streams through real entry hosts and engines

  Scenario: A patient draft is accepted, collected elsewhere, and cancelled
    Given 2 entry hosts
    And 1 engine
    When a patient draft is sent to the first host to be collected later
    Then it is collected from the second host, whole
    And a second one can be cancelled and does not run on
    And an unknown key is not found

  Scenario: A caller who leaves cancels at the engine, but not a patient draft
    Given 1 entry host
    And 1 engine
    When a caller leaves in the middle of a draft
    Then the engine has cancelled it
    When a caller leaves in the middle of a draft with a key
    Then the answer is kept and given for the key

  Scenario Outline: A stream is whole though its engines fail
    Given 1 entry host
    And 3 engines of which the first commits "<fault>" on each request
    When 12 drafts are streamed
    Then each is whole, with each token once
    And the first engine committed its fault

    Examples:
      | fault                 |
      | die_before_first_byte |
      | die_mid_answer        |
      | stall                 |
      | wrong_request_id      |

  Scenario: Two reclaims in a row in the middle of streams
    Given 1 entry host
    And 4 engines
    When 8 drafts are streamed and two engines are reclaimed one after the other
    Then each is whole, with each token once
    And the recomputed tokens are counted for "reclaim"

  Scenario: A graceful shutdown cuts nothing short
    Given 2 entry hosts
    And 1 engine
    And 1 seat service
    When the first host is stopped while 6 drafts are streamed there
    Then each is whole, with each token once
    And a purchase sent meanwhile is refused as not run with a time to come back
    And the stop left 0 requests
