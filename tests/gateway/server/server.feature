@gateway
Feature: Connections of callers

  Scenario Outline: Callers that break the protocol or a limit get its status
    Given a server with the limits of the configuration
    When a caller sends <what>
    Then it gets <status> and the connection is closed

    Examples:
      | what                            | status |
      | a head that is too large        | 431    |
      | a body that is too large        | 413    |
      | half a head and nothing more    | 408    |
      | both a length and chunks        | 400    |
      | no HTTP                         | 400    |

  Scenario: Two requests sent at once are answered in order
    Given a server with the limits of the configuration
    When a caller sends two requests at once
    Then it gets two answers in order

  Scenario: A chunked body comes whole
    Given a server with the limits of the configuration
    When a caller sends a chunked body
    Then its body was whole

  Scenario: An idle connection stays open for its time, then it is closed
    Given a server with the limits of the configuration
    When a caller is idle for 0.8 of the idle limit between two requests
    Then both are answered
    And a connection that stays idle longer is closed

  Scenario: In a stop, answers end their connections, and nothing is taken late
    Given a server that answers a request after 0.3 s
    When it is told to drain while a request runs, and then closed
    Then the running request is answered
    And the next request on its connection finds it closed
