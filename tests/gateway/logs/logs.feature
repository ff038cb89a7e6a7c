@gateway
Feature: Structured logs of a gateway

  Scenario: The reference lists exactly the events that the code logs
    Then each event in the code is documented, and each documented one is logged

  Scenario: API keys and bodies are never logged
    Given a backend server that responds 200 with "secret answer"
    When a caller posts "secret body" with an API key and without one
    Then no log line contains the API key, the request body or the response body

  # Guards against lines that don't show whether a move was under way when a stream ended.
  Scenario Outline: The end of a stream's attempt is logged: <framing>, move <answered>
    Given an engine that closes a <framing> stream after event 3 when it is moved
    And the move is answered <answered>
    When the engine is about to leave in the middle of a caller's stream to "/draft/1"
    Then the line that ends the attempt at the engine states "<framing>" and "<move>"
    And the line on the move states its answer "<logged>"

    Examples:
      | framing | answered               | move        | logged       |
      | close   | with 200               | moved       | moved        |
      | close   | with 404               | unknown_run | HTTP status  |
      | close   | with 409               | failed      | HTTP status  |
      | close   | with 503               | failed      | HTTP status  |
      | close   | with junk              | failed      | invalid body |
      | close   | with 200 after the end | moved       | moved        |
      | close   | not at all             | failed      | no response  |
      | chunked | with 200               | moved       | moved        |
      | chunked | with 503               | failed      | HTTP status  |
      | chunked | with 200 after the end | pending     | moved        |
      | chunked | not at all             | pending     | no response  |

  Scenario Outline: The end of a stream that is not moved is logged: <framing>
    Given an engine that completes a <framing> stream of 3 events
    When a caller posts a prompt to "/draft/1"
    Then the line that ends the attempt at the engine states "<framing>" and "none"
    And it states event 3 and 20 output tokens
    And the check of its end is <checked>

    Examples:
      | framing | checked                            |
      | length  | not logged                         |
      | chunked | not logged                         |
      | close   | logged with the proof "report" |
