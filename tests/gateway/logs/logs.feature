@gateway
Feature: Structured logs of a gateway

  Scenario: The reference lists exactly the events that the code logs
    Then each event in the code is documented, and each documented one is logged

  Scenario: API keys and bodies are never logged
    Given a backend server that answers 200 with "secret answer"
    When a caller posts "secret body" with a key and without one
    Then no line contains the key, the body or the answer
