@gateway
Feature: Links between gateways

  Scenario Outline: A connection whose bytes vanish for good is opened anew
    Given a link through a proxy to a gateway that answers
    When the proxy has <trouble> for 0.3 s and passes on new connections after it
    And frames without an answer are sent for 2 s
    Then the last of them arrive
    And a call is answered within 0.5 s

    Examples:
      | trouble       |
      | SILENT        |
      | CUT_TO_SERVER |
      | CUT_TO_CLIENT |

  Scenario: An idle link is not opened anew
    Given a link through a proxy to a gateway that answers
    When it is idle for 2.5 s between two calls
    Then it is the same connection

  Scenario: A large frame on a slow host's link is not taken for silence
    Given a connection on which 8000000 bytes were sent at 10.0 s
    Then it is not silent at 30.0 s
    And it is silent at 31.5 s

  Scenario: An answer that comes late is an answer
    Given a connection on which 100 bytes were sent at 10.0 s
    When a frame comes at 10.9 s
    Then it is not silent at 60.0 s
