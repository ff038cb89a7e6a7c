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

  # Guards against the first part of a body that counts as the whole, since the process
  # that sent it was killed and its connection closed in order.
  Scenario Outline: A response <that> is no answer
    Given a backend server whose response is "<response>"
    Then a repeatable call fails as possibly sent
    And a non-repeatable call fails as possibly sent
    And an order to an engine gets no answer
    And the state of an engine is not known
    And a release of a host at the cloud gets no answer
    And an operator's request ends with the exit code for no answer
    And a caller of the replay has no answer

    Examples:
      | that                           | response                   |
      | that ends with its connection  | without a length           |
      | with a part of its length      | incomplete                 |
      | with a part of its chunks      | without its last chunk     |
      | with half a chunk              | cut in a chunk             |
      | with a length that is none     | with a length that is none |

  # Guards against answers whose status is none.
  Scenario Outline: A response with the status <status> is no answer
    Given a backend server whose response is "with status <status>"
    Then a repeatable call fails as possibly sent
    And a non-repeatable call fails as possibly sent
    And an order to an engine gets no answer
    And a release of a host at the cloud gets no answer
    And an operator's request ends with the exit code for no answer
    And a caller of the replay has no answer

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 199    |
      | 600    |
      | 999    |
      | abc    |
      | -20    |

  # Guards against the first part of an engine's rejection that its caller gets as a whole.
  Scenario Outline: A rejection by an engine that is <what> is <outcome>
    Given a backend server whose response is "<response>"
    Then the rejected request of a stream is <outcome>

    Examples:
      | what             | response                  | outcome                 |
      | whole            | a rejection               | answered with its body  |
      | of 10,000 bytes  | a large rejection         | answered with its body  |
      | cut              | a cut rejection           | lost                    |
      | without a length | an undelimited rejection  | lost                    |

  # Guards against a stream that counts as complete since its connection ended in order.
  Scenario Outline: A stream whose engine closes it in order after <when> is <outcome>
    Given a backend server whose response is "a stream of <when>"
    Then the stream of a generation is <outcome>

    Examples:
      | when                       | outcome  |
      | one of two tokens          | lost     |
      | two tokens without usage   | lost     |
      | usage without the end      | lost     |
      | the end without a token    | lost     |
      | two tokens, usage and end  | complete |

  Scenario: A response without a body needs no length
    Given a backend server whose response is "with status 204"
    Then a non-repeatable call gets status 204

  Scenario: Nothing is sent without a connection or after the permission to send ended
    Given a backend server whose response is "complete"
    Then a call without permission sends nothing and the server receives no byte
    And a call to a closed port sends nothing
    And a complete response is returned unchanged
