@gateway
Feature: Structured logs of a gateway

  Scenario: The reference lists exactly the events that the code logs
    Then each event in the code is documented, and each documented one is logged

  Scenario: API keys and bodies are never logged
    Given a backend server that responds 200 with "secret answer"
    When a caller posts "secret body" with an API key and without one
    Then no log line contains the API key, the request body or the response body
