@gateway
Feature: Ends of responses without length or chunks

  # Guards against HTTP/1.0 callers that get a broken-off stream as a complete response.
  Scenario Outline: A stream that <ends> does not end as complete for a caller of HTTP/<version>
    Given a server whose stream <ends> after 3 events
    When 10 callers of HTTP/<version> read the stream to its end
    Then each caller has 3 events, and its response ends <how>

    Examples:
      | ends                          | version | how                   |
      | is broken off                 | 1.0     | with a reset          |
      | loses its handler             | 1.0     | with a reset          |
      | is ended by the server's stop | 1.0     | with a reset          |
      | runs when its event loop ends | 1.0     | with a reset          |
      | is broken off                 | 1.1     | before its last chunk |
      | loses its handler             | 1.1     | before its last chunk |
      | is ended by the server's stop | 1.1     | before its last chunk |
      | runs when its event loop ends | 1.1     | before its last chunk |

  # Guards against complete streams that end with a reset.
  Scenario Outline: A complete stream ends in order for <caller> of HTTP/1.0
    Given a server whose stream is complete after <count> events
    When <callers> callers of HTTP/1.0 read the stream to its end, <speed>
    Then each caller has <count> events, and its response ends in order

    Examples:
      | caller        | count | callers | speed   |
      | a caller      | 3     | 10      | at once |
      | a slow caller | 60000 | 2       | slowly  |

  Scenario: A broken-off stream is reset soon though its caller does not read
    Given a server whose stream is broken off after 60000 events
    When a caller of HTTP/1.0 reads nothing for 2 s
    Then the server has closed the connection, and the response ends with a reset

  # Guards against streams that end as complete when the kernel closes the connections
  # of a process.
  Scenario Outline: A gateway process that <ends> does not end a stream as complete
    Given a gateway process whose engine streams slowly
    When a caller of HTTP/1.0 has the first events and the process <ends>
    Then the response lacks events, and ends with a reset

    Examples:
      | ends                      |
      | is killed                 |
      | stops before the last one |
