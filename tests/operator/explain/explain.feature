@operator
Feature: From a request's id to its cause

  Scenario: The way of a request through several processes, with its cause
    Given logs of two processes in which a stream moved and was then broken off
    When the request is explained
    Then its lines come in order of time, with the cause and what to look at next
    And the backend server's leaving is shown, other requests are not

  Scenario: Lines that are no JSON, and text before the JSON, do no harm
    Given logs with text before each line and damaged lines
    When the request is explained
    Then the cause is named

  Scenario Outline: Why an answer came late: <part>
    Given logs of an answer with <part>
    When the request is explained
    Then the longest part of its time is "<told>"

    Examples:
      | part                                     | told                                            |
      | 0.9 s held, 0.2 s expected, 1.2 s first  | it waited here before it was sent               |
      | 0.0 s held, 0.8 s expected, 0.9 s first  | the backend server was expected to need so long |
      | 0.0 s held, 0.2 s expected, 1.4 s first  | the backend server needed longer than expected  |
      | 0.1 s held, 0.2 s expected, 0.3 s first  | the caller waited within the stream             |

  Scenario: A request that would have been late tells what was expected
    Given logs of a request that was refused unsent, with 0.66 s expected
    When the request is explained
    Then it tells that it was not sent and that 0.66 s were expected

  Scenario: A refusal before a request had a route is its end
    Given logs of a request that was refused at once
    When the request is explained
    Then the refusal's cause is named, and no end is missing

  Scenario: A request that no line names is an error
    Given logs of two processes in which a stream moved and was then broken off
    When an unknown request is explained
    Then the command fails and says how many lines it read
