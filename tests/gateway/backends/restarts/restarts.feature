@gateway
Feature: Responses of a backend server that crashes and whose address is served again

  # Guards against the answer of a new start that passes for one of the start that crashed.
  Scenario Outline: No part passes for the whole, <contact>, back after <down> s under <id> id
    Given an engine that gets its <contact> requests and another engine
    When the engine crashes amid responses in each framing and is back after <down> s under <id> id
    Then no response ends as complete without its rest
    And requests that may be repeated get a whole response
    And the others are broken off or answered with 502

    Examples:
      | contact | down | id       |
      | first   | 0    | the same |
      | first   | 0    | a new    |
      | later   | 0    | the same |
      | later   | 0    | a new    |
      | later   | 0.02 | the same |
      | later   | 0.3  | the same |
      | later   | 0.3  | a new    |

  # Guards against the same where a report states the start that makes it.
  Scenario: No part passes for the whole at engines whose reports state their start
    Given an engine whose reports state its start and another engine
    When the engine crashes amid responses in each framing and is back after 0 s under the same id
    Then no response ends as complete without its rest
    And requests that may be repeated get a whole response

  # Guards against a witness that only the kernel of a crashed process had accepted.
  Scenario: A connection that was accepted but not answered shows nothing
    Given an engine that gets its later requests and another engine
    When calls stay unaccepted until the engine has crashed amid responses and is back
    Then no response ends as complete without its rest
    And requests that may be repeated get a whole response

  # Guards against the answer 404 of a new start to the order to move a stream.
  Scenario: A move that a new start answers does not show the end of a stream
    Given an engine that gets its first requests and another engine
    When the orders to move its streams find a new start of the engine
    Then no response ends as complete without its rest
    And requests that may be repeated get a whole response

  # Guards against a check that loses sound responses, or costs more than a call for each of
  # 8 ends and 4 witnesses, and for each 0.4 s in which one would be closed.
  Scenario Outline: Whole responses without a length of an engine <trait> are forwarded whole
    Given an engine <trait> and another engine
    When responses in each framing end by themselves, twice
    Then each response is whole, from the first engine alone, with at most <calls> calls

    Examples:
      | trait                              | calls |
      | that gets its first requests       | 12    |
      | whose reports state its start      | 12    |
      | whose reports list nothing         | 12    |
      | with an idle timeout of 1 s        | 24    |
      | that is silent for 1.2 s at an end | 12    |

  # Guards against sound responses that are lost as their engine stops as planned.
  Scenario: Whole responses of an engine that begins to leave are forwarded whole
    Given an engine that gets its later requests and another engine
    When the engine begins to leave amid responses and closes each connection after a call
    Then each response is whole, also those that can't be repeated, from the first engine

  # Guards against a check that needs a new connection to a full engine.
  Scenario: Whole responses of an engine that accepts no new connections are forwarded whole
    Given an engine that gets its later requests and another engine
    When responses in each framing end while the engine resets new connections
    Then each response is whole, from the first engine alone, with at most 4 calls

  # Guards against the loss of a sound stream whose witness is closed.
  Scenario: A stream whose witness is closed finds another one by a report that lists it
    Given an engine that gets its first requests and another engine
    When the connections without a response are closed amid streams of 2 s
    Then each response is whole, from the first engine alone, with at most 6 calls

  Scenario: A response that can't be repeated waits for the end of a pause
    Given an engine that gets its first requests and another engine
    When the engine asks for a pause of 1.5 s before responses end
    Then no call is made within the pause
    And responses that can't be repeated are whole

  # Guards against calls where responses always have a length or chunks.
  Scenario: Responses with a length or in chunks cost one call
    Given an engine that gets its first requests and another engine
    When 20 responses with a length or in chunks arrive
    Then the engine has got at most 2 calls, one for each kind of response

  # Guards against a witness that takes the last connection over which an engine is reached.
  Scenario Outline: The last connection to an engine that accepts no new ones carries requests
    Given an engine that gets its first requests and another engine
    When 3 <framing> requests follow one that left a single connection, and no new ones open
    Then <whole> of the responses are whole, from the first engine alone

    Examples:
      | framing | whole |
      | length  | 4     |
      | chunked | 4     |

  # Guards against a connection that is reused after its engine has closed it.
  Scenario: A connection that carried no call stays idle no longer than was announced
    Given an engine with an idle timeout of 3 s and another engine
    When 4 requests that may need a witness are sent within 1 s
    Then the connection without a later response is idle for at most 2 s

  # Guards against a second call for each response that closes its connection.
  Scenario: Responses without a length that follow one another cost a call each
    Given an engine that gets its first requests and another engine
    When 5 responses without a length are requested one after another
    Then each response is whole, from the first engine alone, with at most 6 calls
