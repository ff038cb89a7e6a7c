@gateway
Feature: Ends of responses without a length that the checks do not show

  # Guards against an engine that accepts a connection and resets it because it is ending.
  Scenario: A stream of an engine that closes its listener after its streams is not complete
    Given two engines
    When streams without a length are cut off and each new connection is reset
    Then no stream ends as complete without all its events

  # Guards against a run that a report does not list because it is older than the run.
  Scenario: A report from before the start of a stream does not show its end
    Given two engines
    When streams of a leaving engine are cut off and its reports are older than they
    Then no stream ends as complete without all its events

  # Guards against a generation that ends as complete without any event.
  Scenario Outline: A generation of a <state> engine that has sent no event is not complete
    Given two engines
    When generations of a <state> engine are cut off before their first event
    Then no caller gets a success without all events

    Examples:
      | state   |
      | staying |
      | leaving |

  # Guards against ids that do not count the events of the stream.
  Scenario: A high id does not show the last possible event
    Given two engines
    When moves stop streams without a length whose ids start at 100
    Then no stream ends as complete

  # Guards against a part of a response whose engine resets the rest of a large upload.
  Scenario: A response is not complete while its request is still being written
    Given two engines
    When an engine ends a part of a response and resets the rest of a large upload
    Then no caller gets the part as a whole response

  # Guards against a connection that stays open for good.
  Scenario: A check that is cancelled loses no connection
    Given two engines
    When the caller leaves as the connection that verifies its response opens
    Then the connection is closed, or the pool has it

  # Guards against the reuse of a connection that the engine is about to close.
  Scenario: The connection that verifies a response keeps the announced idle timeout
    Given two engines
    When a whole response without a length announces an idle timeout of 2 s
    Then the connection that verified it is not reused after 1 s
