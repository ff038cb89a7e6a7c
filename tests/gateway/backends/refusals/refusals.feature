@gateway
Feature: A refusal that an engine writes a second time is not taken for another answer

  # Guards against "not run, try again" for a purchase that an engine runs.
  Scenario Outline: An engine repeats a refusal with <status> <moment>
    Given an engine that refuses a purchase with <status> and repeats the refusal <moment>
    When a purchase is refused, and two more are sent, with each kind of copy
    Then each later purchase gets its own answer and runs once

    Examples:
      | status | moment                            |
      | 503    | before the next request           |
      | 503    | together with the next answer     |
      | 503    | in the middle of the next answer  |
      | 503    | after the next answer             |
      | 429    | before the next request           |
      | 429    | together with the next answer     |
      | 429    | in the middle of the next answer  |
      | 429    | after the next answer             |
      | 421    | before the next request           |
      | 421    | together with the next answer     |
      | 421    | in the middle of the next answer  |
      | 421    | after the next answer             |
      | 400    | before the next request           |
      | 400    | together with the next answer     |
      | 400    | in the middle of the next answer  |
      | 400    | after the next answer             |
      | 408    | before the next request           |
      | 408    | together with the next answer     |
      | 408    | in the middle of the next answer  |
      | 408    | after the next answer             |

  # Guards against a stream that runs at a second engine after a copy of a refusal.
  Scenario: A draft runs once although its engine repeats an earlier refusal
    Given an engine that refuses a draft and repeats the refusal with the next answer
    When a draft is refused, and another one is sent
    Then the second draft gets all its events and runs once

  # Guards against an answer of the request before on the same connection.
  Scenario Outline: An engine repeats <answer> without an id <moment>
    Given an engine that repeats <answer> without an id <moment>
    When two purchases are sent
    Then each purchase gets its own answer and runs once

    Examples:
      | answer           | moment                        |
      | a success        | together with the next answer |
      | a failure        | together with the next answer |

  Scenario: Engines that state no id in any answer keep their connections
    Given an engine whose answers state no id
    When three purchases are sent
    Then each purchase gets its own answer and runs once
    And one connection carried all of them

  Scenario: A refusal on a connection that carried a stray answer is not believed
    Given an engine that answers another request before it refuses
    When a purchase is sent
    Then the purchase gets 502
