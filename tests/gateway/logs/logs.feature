@gateway
Feature: Structured logs of a gateway

  Scenario: Each event that is logged has its place in the reference
    Then each event in the code is documented, and each documented one is logged

  Scenario: Keys and bodies are never logged
    Given a backend server that answers 200 with "secret answer"
    When a caller posts "secret body" with a key and without one
    Then no line holds the key, the body or the answer
