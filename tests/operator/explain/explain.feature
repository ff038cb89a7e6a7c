@operator
Feature: Explain the outcome of a request from the logs

  Scenario: Lines of several processes about one request, with its cause
    Given logs of two processes in which a stream was migrated and then broken off
    When the request is explained
    Then the lines of the request are listed by time, with the cause and what to check
    And the announcement of the leaving backend server is listed, other requests are not

  Scenario: Lines without JSON, and text before the JSON, are ignored
    Given logs with text before the JSON of each line, and malformed lines
    When the request is explained
    Then the cause is reported

  Scenario Outline: The longest part of the time that an answer took: <times>
    Given logs of an answer with <times>
    When the request is explained
    Then the longest part of the time is "<longest>"

    Examples:
      | times                                   | longest                                                     |
      | 0.9 s held, 0.2 s expected, 1.2 s first | the request waited in the gateway before it was sent        |
      | 0.0 s held, 0.8 s expected, 0.9 s first | the expected time to the first event of the backend server  |
      | 0.0 s held, 0.2 s expected, 1.4 s first | the delay of the first event beyond the expected time       |
      | 0.1 s held, 0.2 s expected, 0.3 s first | the longest pause between events of the stream              |

  # Guards against streams whose end can't be traced from the logs of their gateway.
  Scenario Outline: What decided the end of a stream: <framing>, move <move>, <event>
    Given logs of a <framing> stream with move <move> that ends as <event>
    When the request is explained
    Then the stream end is explained with "<delimiter>", "<order>" and "<decision>"
    And the answer to the move is "HTTP status 503, expected 200" at <answered>

    Examples:
      | framing | move    | event         | delimiter                      | order                           | decision                                      | answered             |
      | close   | pending | answered      | by the close of its connection | without an answer until then    | counted as its complete end after event 7     | 0.500 s after that   |
      | close   | failed  | answered      | by the close of its connection | had failed, which may have      | counted as its complete end after event 7     | 0.500 s before that  |
      | chunked | failed  | attempt_broke | in chunks                      | had failed, which may have      | counted as a failure after event 7, since i-1 | 0.500 s before that  |
      | close   | moved   | attempt_broke | by the close of its connection | had stopped and copied it       | counted as a failure after event 7, since i-1 | 0.500 s before that  |

  Scenario Outline: What shows the end of a stream is explained: <proof>, complete <complete>
    Given logs of a close stream whose end was checked by "<proof>", complete <complete>
    When the request is explained
    Then the stream end is explained
    And the sentence has "<text>"

    Examples:
      | proof      | complete | text                                             |
      | connection | true     | shown by a new connection to the backend server  |
      | connection | false    | a new connection to the backend server did not   |
      | report     | true     | shown by the backend server's report             |
      | count      | true     | shown by the number of events                    |
      | none       | false    | nothing can show that it is complete             |

  Scenario Outline: A stream that was not moved: <framing>
    Given logs of a <framing> stream with move none that ends as answered
    When the request is explained
    Then the stream end is <explained>

    Examples:
      | framing | explained     |
      | close   | explained     |
      | chunked | not explained |
      | length  | not explained |

  Scenario: The expected time is reported for a request refused before it was sent
    Given logs of a request that was refused before it was sent, with 0.66 s expected
    When the request is explained
    Then the report says that no request was sent and that 0.66 s were expected

  Scenario: A refusal before a request had a route is its outcome
    Given logs of a request that was refused before it had a route
    When the request is explained
    Then the cause of the refusal is reported, and no outcome is missing

  Scenario: A request without a log line is an error
    Given logs of two processes in which a stream was migrated and then broken off
    When an unknown request is explained
    Then the command fails and reports how many log lines were searched
