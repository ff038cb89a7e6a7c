@requests
Feature: Calls to backend servers report whether the request may have been sent

  Scenario Outline: An incomplete or invalid response is an error
    Given a backend server whose response is "<response>"
    Then a repeatable call fails as possibly sent
    And a non-repeatable call fails as possibly sent

    Examples:
      | response        |
      | too large       |
      | incomplete      |
      | empty           |
      | not HTTP        |

  Scenario: Nothing is sent without a connection or after the permission to send ended
    Given a backend server whose response is "complete"
    Then a call without permission sends nothing and the server receives no byte
    And a call to a closed port sends nothing
    And a complete response is returned unchanged
