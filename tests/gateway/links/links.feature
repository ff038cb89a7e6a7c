@gateway
Feature: Links between gateways

  Scenario Outline: A connection that permanently drops bytes is replaced
    Given a link through a proxy to a gateway that responds to calls
    When the proxy applies <fault> for 0.3 s, then forwards new connections
    And one-way frames are sent for 2 s
    Then the last frame arrives
    And a call gets its response within 0.5 s

    Examples:
      | fault         |
      | SILENT        |
      | CUT_TO_SERVER |
      | CUT_TO_CLIENT |

  Scenario: An idle link keeps its connection
    Given a link through a proxy to a gateway that responds to calls
    When the link is idle for 2.5 s between two calls
    Then the link still has the same connection

  Scenario: A link with a large frame on a slow network is not taken for silent
    Given a connection on which 8000000 bytes were sent at 10.0 s
    Then the connection is not silent at 30.0 s
    And the connection is silent at 31.5 s

  Scenario: A late frame resets the response timeout
    Given a connection on which 100 bytes were sent at 10.0 s
    When a frame is received at 10.9 s
    Then the connection is not silent at 60.0 s
