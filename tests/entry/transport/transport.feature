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

  # Guards against a head that ends with its connection and is taken for a whole response.
  Scenario Outline: A response that is <cut> is an error
    Given a backend server whose response is "<cut>"
    Then a repeatable call fails as possibly sent
    And a non-repeatable call fails as possibly sent
    And an order to an engine gets no answer
    And a release of a host at the cloud gets no answer
    And an operator's request ends with the exit code for no answer
    And a caller of the replay has no answer

    Examples:
      | cut                    |
      | cut in its status line |
      | cut before a header    |
      | cut in a header        |
      | cut behind a header    |

  Scenario: Nothing is sent without a connection or after the permission to send ended
    Given a backend server whose response is "complete"
    Then a call without permission sends nothing and the server receives no byte
    And a call to a closed port sends nothing
    And a complete response is returned unchanged
