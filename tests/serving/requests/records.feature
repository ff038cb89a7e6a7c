@requests
Feature: Durable records of requests

  Scenario: A purchase runs once and its key gives the same answer on every host
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" runs "k1"
    And "b" runs "k1"
    Then the reply of "a" is ANSWERED
    And the reply of "b" is ANSWERED with the same answer
    And "k1" was executed 1 time

  Scenario: A key that names another request is refused
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" runs "k1"
    And "b" runs "k1" with another body
    Then the reply of "b" is KEY_REUSED

  Scenario Outline: What goes wrong at the backend server is told truthfully
    Given a service <query> an outcome query
    And the entry host "a" whose sends are "<sends>"
    When "a" runs "k1"
    Then the reply of "a" is <reply>
    And "k1" was executed <times> time

    Examples:
      | query   | sends           | reply           | times |
      | with    | refused         | ANSWERED        | 1     |
      | with    | refused refused | NOT_RUN         | 0     |
      | with    | dropped         | NOT_RUN         | 0     |
      | with    | cut             | ANSWERED        | 1     |
      | without | dropped         | OUTCOME_UNKNOWN | 0     |
      | without | cut             | OUTCOME_UNKNOWN | 1     |
      | with    | late            | NOT_RUN         | 0     |

  Scenario Outline: An entry host dies at every step, and the next one too
    Given a service <query> an outcome query
    Then no death of a host at any step, alone or with its successor's, doubles, loses or belies a request

    Examples:
      | query   |
      | with    |
      | without |

  Scenario Outline: Each commit is lost in each way
    Given a service <query> an outcome query
    Then no lost commit, applied, late or dropped, doubles, loses or belies a request

    Examples:
      | query   |
      | with    |
      | without |

  Scenario: A paused owner wakes after the takeover and does not send
    Given a service without an outcome query
    And the entry hosts "a" and "b"
    When "a" is paused before it sends "k1" and "b" takes over
    Then the reply of "a" is OUTCOME_UNKNOWN
    And "k1" was executed 0 times

  Scenario: An operator lists and resolves an unknown outcome
    Given a service without an outcome query
    And the entry host "a" whose sends are "cut"
    When "a" runs "k1"
    Then the list of unknown outcomes names "k1"
    When an operator resolves "k1" with the answer "seat 7"
    And "a" runs "k1"
    Then the reply of "a" is ANSWERED
    And the list of unknown outcomes is empty
    And a second resolution of "k1" is refused

  Scenario: An ended record is removed after its keeping time with its indexes
    Given a service with an outcome query
    And the entry host "a" whose sends are ""
    When "a" runs "k1"
    Then nothing expires after 59 seconds
    And the store is empty after 61 seconds

  Scenario: Patient requests of a dead host are run again
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" accepts the patient request "p1" and dies
    Then "b" is given "p1" to run within one sweep, as its owner

  Scenario: The answer is given when its commit can't be confirmed, and is kept later
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When the store loses all answers to "a" after the permission for "k1"
    Then the reply of "a" is ANSWERED
    And after a sweep of "a" the reply of "b" to "k1" is ANSWERED

  Scenario Outline: Moves that the life of a request does not allow are refused
    Then the move <move> from <state> is refused for a call that may not be repeated

    Examples:
      | move                  | state       |
      | permit                | dispatching |
      | again after bytes     | dispatching |
      | again by another      | dispatching |
      | finish                | accepted    |
      | give up never sent    | dispatching |
      | give up by another    | dispatching |
      | cancel                | dispatching |
      | finish by stale owner | dispatching |
      | take over             | answered    |
      | resolve               | answered    |

  Scenario: A purchase of a dead host is settled only after its permission has ended
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" dies before it sends "k1"
    Then "b" is given nothing to settle for 2 seconds, and then "k1"

  Scenario: A refusal does not deny what an earlier sending of the key did
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" runs "k1"
    And "b" has lost its lease and runs "k1"
    Then the reply of "b" is ANSWERED with the same answer
    When "b" has no backend server and runs "k1"
    Then the reply of "b" is ANSWERED with the same answer
    When "b" has no backend server and runs "k2"
    Then the reply of "b" is NOT_ACCEPTED
