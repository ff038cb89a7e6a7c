@gateway
Feature: Requests through a gateway, whatever a backend server does

  Scenario: An answer is passed on unchanged, and the key is not
    Given a backend server that answers 200 with "sold"
    When a caller posts to "/buy/1?seat=4" with body "two"
    Then the caller gets 200 with "sold" and the proof
    And the backend server saw "/buy/1?seat=4", body "two", account "choir" and no key
    And it was told to answer within the caller's time and as itself

  Scenario: What only the system sets is not taken from callers
    Given a backend server that answers 200 with "sold"
    When a caller posts to "/buy/1" with a memory copy, a hold and another account
    Then the backend server saw none of them

  Scenario Outline: Requests that no route or key allows are not sent
    Given a backend server that answers 200 with "sold"
    When a caller posts to "<path>" with key "<key>"
    Then the caller gets <status>
    And 0 requests reached the backend servers

    Examples:
      | path    | key   | status |
      | /none/1 | key-1 | 404    |
      | /buy/1  | other | 401    |

  Scenario: A purchase whose answer is lost is not sent again, and not called unrun
    Given a backend server that breaks off without an answer
    And a backend server that answers 200 with "sold"
    When a caller posts to "/buy/1"
    Then the caller gets 502
    And 1 request reached the backend servers

  Scenario: A purchase that was rejected unrun is refused with a time to return
    Given a backend server that rejects requests unrun
    When a caller posts to "/buy/1"
    Then the caller gets 503 with Retry-After

  Scenario: A purchase goes on to another backend server when one can't be reached
    Given a backend server that does not listen
    And a backend server that answers 200 with "sold"
    When a caller posts to "/buy/1"
    Then the caller gets 200 with "sold" and the proof

  Scenario Outline: A lookup goes to another backend server once
    Given a backend server that <does>
    And a backend server that answers 200 with "free"
    When a caller gets "/look/1"
    Then the caller gets 200 with "free" and the proof
    And 2 requests reached the backend servers

    Examples:
      | does                             |
      | breaks off without an answer     |
      | fails with 500                   |
      | answers without proof            |
      | answers with a body cut short    |
      | sends bytes that are no answer   |
      | stays silent                     |
      | has another backend's address    |

  Scenario: A lookup that fails everywhere brings the last backend server's failure
    Given a backend server that fails with 500
    And a backend server that fails with 500
    When a caller gets "/look/1"
    Then the caller gets 500 with "broken" and the proof

  Scenario: A late answer to an earlier request is passed over
    Given a backend server that first sends a late answer to another request
    When a caller gets "/look/1"
    Then the caller gets 200 with "mine" and the proof

  Scenario: After an extra answer the connection is not used again
    Given a backend server that sends each answer twice
    When a caller gets "/look/1"
    And a caller gets "/look/2"
    Then both got their own answer

  Scenario: A stream that breaks off does not look whole
    Given a backend server that streams 2 events and breaks off
    When a caller posts a prompt to "/draft/1"
    Then the caller gets events 1 to 2 and no end

  Scenario: A stream that may be resumed goes on after its last whole event
    Given a backend server that streams 2 events, half of one, and breaks off
    And a backend server that goes on after the last event up to 5
    When a caller posts a prompt to "/notes/1"
    Then the caller gets events 1 to 5 and the end
    And the second backend server was told to go on after event 2

  Scenario: A resumed stream that leaves an event out is broken off
    Given a backend server that streams 2 events and breaks off
    And a backend server that leaves an event out
    When a caller posts a prompt to "/notes/1"
    Then the caller gets events 1 to 2 and no end

  Scenario: A stream moves with its memory before its engine ends
    Given an engine that stops a stream when it is told to move it
    And an engine that takes the stream over from a copy
    When a caller posts a prompt to "/draft/1" and the first engine leaves
    Then the caller gets events 1 to 6 and the end
    And the copy of the first engine was used

  Scenario Outline: The engine that holds a moved stream's copy is reached <when>
    Given an engine that stops a stream when it is told to move it
    And an engine that takes the stream over from a copy
    And an engine that would begin it anew
    When a caller posts a prompt to "/draft/1", the first engine leaves, and the second is reached <when>
    Then the caller gets <events>
    And the third engine gets nothing

    Examples:
      | when             | events                     |
      | at the third try | events 1 to 6 and the end  |
      | never            | events 1 to 3, cut         |

  Scenario: A stream that ends just as its move begins is not failed by the move
    Given an engine that stops a stream when it is told to move it
    And an engine that takes the stream over from a copy
    When a stream ends between the decision to move it and the move
    Then the move has an outcome and no error

  Scenario: An engine that sent events until the time ended is not shunned
    Given a backend server that streams an event every 0.2 s without an end
    When a caller posts a prompt to "/draft/1"
    Then the caller gets a cut answer
    And the backend server still gets requests

  Scenario: A caller who leaves is gone at the backend server at once
    Given a backend server that stays silent
    When a caller leaves "/buy/1" after 0.1 s
    Then its connection to the backend server is closed within 0.3 s

  Scenario: The log tells what the gateway added, apart from the work
    Given a backend server that answers after 0.2 s
    When a caller posts to "/buy/1"
    Then the log tells less than 0.1 s held and passed on, and over 0.2 s taken

  Scenario: A request without an answer ends at its route's time
    Given a backend server that stays silent
    When a caller posts to "/buy/1"
    Then the caller gets 504 after 1.3 to 1.8 s
    And the log names the backend server and says that the time ended

  Scenario: An account over its limit is told when to come back
    Given a backend server that goes on after the last event up to 2
    When 60 prompts of 120 tokens come one after the other
    Then half a burst, and what the rate adds, is answered, and others get 429

  Scenario: Requests that never ran are not charged to their account
    Given a backend server that rejects requests unrun
    When 60 prompts of 120 tokens come one after the other
    Then each of them gets 503 and none 429

  Scenario: A draft that would be late is sent away at once, then it is taken
    Given a backend server that goes on after the last event up to 2
    When it has 60000 prompt tokens before it and a caller posts a prompt
    Then the caller gets 503 with Retry-After
    And 0 requests reached the backend servers
    When they are read and the caller comes back
    Then the caller gets events 1 to 2 and the end

  Scenario: No configuration, no answer but a time to return
    Given a gateway without a configuration
    When a caller posts to "/buy/1"
    Then the caller gets 503 with Retry-After
