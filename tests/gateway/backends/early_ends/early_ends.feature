@gateway
Feature: Answers of backend servers that end early

  # Guards against a part of an answer that the caller gets as a complete one when the
  # backend server resets the connection during the upload.
  Scenario Outline: A reset during an upload leaves no complete answer, <path>
    Given a gateway that forwards <path> to a backend server
    When uploads of 100 bytes to 3.5 MB are reset before the head, after it and in the body
    And each reset comes before, during and after the upload, 2 times
    Then none of 504 callers gets a complete answer, but an error or a cut part

    Examples:
      | path           |
      | directly       |
      | through a peer |

  # Guards against a part of an answer that the caller gets as a complete one when the
  # backend server, or what is left of it, ends it in order and resets what it has not
  # read of the request.
  Scenario Outline: An answer that ends in order is <how> when the rest of its request is <rest>
    Given a gateway that forwards <path> to a backend server
    When answers to uploads of 300 kB to 3.5 MB end in order, and the rest is <rest>
    Then 48 of 48 callers get an answer that is <how>

    Examples:
      | path           | rest  | how        |
      | directly       | reset | incomplete |
      | through a peer | reset | incomplete |
      | directly       | read  | complete   |
      | through a peer | read  | complete   |

  # Guards against answers whose status is none.
  Scenario Outline: An answer with the status line "<line>" does not reach the caller
    Given a gateway that forwards directly to a backend server
    When the backend server answers requests of all kinds with "<line>"
    Then each caller gets 502, and none gets that status

    Examples:
      | line              |
      | HTTP/1.1 000 X    |
      | HTTP/1.1 001 X    |
      | HTTP/1.1 099 X    |
      | HTTP/1.1 99 X     |
      | HTTP/1.1 101 X    |
      | HTTP/1.1 199 X    |
      | HTTP/1.1 600 X    |
      | HTTP/1.1 999 X    |
      | HTTP/1.1 2000 X   |
      | HTTP/1.1 -20 X    |
      | HTTP/1.1 abc X    |
      | HTTP/1.1          |
      | HTTP/2.0 000 X    |

  # Guards against a part of an answer that the caller gets as a complete one because the
  # gateway itself closed the connection.
  Scenario: An answer that the gateway gives up half-read is not complete
    Given a gateway that forwards directly to a backend server
    When the backend server has sent a part and the gateway withdraws the request
    Then the caller gets 502
