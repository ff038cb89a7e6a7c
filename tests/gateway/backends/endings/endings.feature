@gateway
Feature: What counts as the end of a response that ends with its connection

  # Guards against a stream whose move stopped it and that ends as complete without its rest.
  Scenario: No stream that a move stops ends as complete without its rest
    Given two engines
    When streams run in each framing on both routes and moves stop them, with each kind of answer
    Then no stream ends as complete without all its events
    And streams go on after their last event wherever a copy or their route allows it
    And the metric counts 20 ends without proof, all of streams without a length, and 33 others

  # Guards against the same at a gateway as it is deployed.
  Scenario: No stream that a move stops at a gateway process ends as complete without its rest
    Given two engines and gateway processes
    When streams run in each framing on both routes and moves stop them, with each kind of answer
    Then no stream ends as complete without all its events
    And streams go on after their last event wherever a copy or their route allows it

  # Guards against a part of a response that a killed engine leaves, passed on as the whole.
  Scenario Outline: No response of a killed engine, <state> before, ends as complete without its rest
    Given an engine process and another engine
    When the process, <state>, is killed in the middle of streams and bodies in each framing
    Then no response ends as complete without its rest
    And requests that may be repeated get a whole response of the other engine
    And each attempt at the killed engine counts as broken

    Examples:
      | state   |
      | staying |
      | leaving |

  # Guards against a stream of a leaving engine that ends as complete without its report.
  Scenario: A stream that a leaving engine cuts off without a move is not complete
    Given two engines
    When streams without a length of a leaving engine are cut off without a move
    Then no stream ends as complete without all its events
    And streams go on after their last event wherever a copy or their route allows it

  # Guards against a check that breaks off sound responses.
  Scenario Outline: Whole responses without a length of a <state> engine are forwarded whole
    Given two engines
    When responses of a <state> engine end in order, without a length and without a move
    Then each response is whole and comes from the first engine alone
    And the first engine has got some report calls

    Examples:
      | state   |
      | staying |
      | leaving |

  Scenario: The connection that verifies a response carries the next request
    Given two engines
    When 5 whole responses without a length arrive one after the other
    Then 6 connections to backend servers have been opened

  # Guards against a stream that is broken off because its end and its move cross.
  Scenario: A stream that ends while the order to move it is on its way is whole
    Given two engines
    When streams without a length end as the orders to move them arrive
    Then each response is whole and comes from the first engine alone

  # Guards against an answer 404 that is believed without the report.
  Scenario: An unknown run counts as ended only if the engine reports
    Given two engines whose reports fail
    When streams without a length end as the orders to move them arrive
    Then the stream that may be resumed is whole, and the other one is broken off

  Scenario: A stream with its last possible event is whole whatever its move is answered
    Given two engines
    When streams without a length have their last possible event and their moves fail
    Then each response is whole and comes from the first engine alone
    And the first engine has got no report calls since the last end

  # Guards against an order for a stream that has ended, which makes its end doubtful.
  Scenario: No move is ordered for a stream whose connection has closed
    Given two engines
    When a stream ends while a target for its move is chosen
    Then each response is whole and comes from the first engine alone
    And no move is ordered

  # Guards against a connection that is opened for a response which can have no body.
  Scenario: Responses that can have no body are not verified
    Given two engines
    And plain responses have had a length
    When callers get responses to HEAD and with status 204 and 304, without a length
    Then 3 connections to backend servers have been opened

  # Guards against the death of a peer gateway that ends a response as complete.
  Scenario: A response of a peer gateway without length and chunks is not complete
    Given two engines and a peer gateway that sends neither a length nor chunks
    When callers whose requests go through the peer get their responses
    Then only requests that may be repeated get a response, from an engine
