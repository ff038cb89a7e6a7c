@gateway
Feature: Connections of callers

  Scenario Outline: A protocol violation or an exceeded limit gets an error status
    Given a server with configured limits
    When a caller sends <what>
    Then the caller gets <status> and the connection is closed

    Examples:
      | what                          | status |
      | a head that is too large      | 431    |
      | a body that is too large      | 413    |
      | half a head and then nothing  | 408    |
      | a length and chunked encoding | 400    |
      | data that is not HTTP         | 400    |

  Scenario Outline: A response to <what> has no body, and keeps the length that it states
    Given a server that responds <status> and states a length of 5
    When a request of method <method> arrives
    Then the caller gets <status> with length 5 and no body, and the next request is served

    Examples:
      | what              | method | status |
      | HEAD              | HEAD   | 200    |
      | a conditional GET | GET    | 304    |

  Scenario: Pipelined requests get responses in order
    Given a server with configured limits
    When a caller sends two pipelined requests
    Then the caller gets two responses in order

  Scenario: A chunked body is read whole
    Given a server with configured limits
    When a caller sends a chunked body
    Then the server reads the whole body

  Scenario: An idle connection is closed after the idle limit
    Given a server with configured limits
    When a caller is idle for 0.8 of the idle limit between two requests
    Then both requests get a response
    And a connection that stays idle longer is closed

  Scenario: A drained server responds to running requests and accepts no further ones
    Given a server that responds to a request after 0.3 s
    When the server is drained during a request and then closed
    Then the running request gets a response
    And the next request fails because the connection is closed

  # Guards against kernel timeouts that close a connection whose peer is silent for 1 s.
  Scenario: Connections outlast a peer that is silent for some seconds
    When a connection is opened, pooled and used again
    Then the kernel closes it after 3 to 4 s of silence in use, and after 2 s when idle

  # Guards against a process that ends although a request has just arrived.
  Scenario: A request that arrives as the listener closes counts as busy until its answer
    Given a server that responds to a request after 0.3 s
    When a request arrives in the turn in which the server is closed
    Then the server is busy from then on, and idle after the answer
