@requests
Feature: Durable records of requests

  Scenario: A purchase runs once and every host returns the same response for its key
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" runs "k1"
    And "b" runs "k1"
    Then the reply of "a" is ANSWERED
    And the reply of "b" is ANSWERED with the same answer
    And "k1" was executed 1 time

  Scenario: A key that was used for another request is refused
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" runs "k1"
    And "b" runs "k1" with another body
    Then the reply of "b" is KEY_REUSED

  Scenario Outline: Failures at the backend server are reported correctly
    Given a service <query> an outcome query
    And the entry host "a" whose attempts are "<sends>"
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

  Scenario Outline: An entry host crashes at any step, and then its successor
    Given a service <query> an outcome query
    Then no crash of a host at any step, with or without that of its successor, executes a request twice, loses it or misreports it

    Examples:
      | query   |
      | with    |
      | without |

  Scenario Outline: The commits of a request are lost, applied late or not confirmed
    Given a service <query> an outcome query
    Then no lost commit, applied, late or dropped, executes a request twice, loses it or misreports it

    Examples:
      | query   |
      | with    |
      | without |

  Scenario: An owner that was paused during a takeover does not send afterwards
    Given a service without an outcome query
    And the entry hosts "a" and "b"
    When "a" is paused before it sends "k1" and "b" takes over
    Then the reply of "a" is OUTCOME_UNKNOWN
    And "k1" was executed 0 times

  Scenario: An operator lists and resolves an unknown outcome
    Given a service without an outcome query
    And the entry host "a" whose attempts are "cut"
    When "a" runs "k1"
    Then the list of unknown outcomes names "k1"
    When an operator resolves "k1" with the answer "seat 7"
    And "a" runs "k1"
    Then the reply of "a" is ANSWERED
    And the list of unknown outcomes is empty
    And a second resolution of "k1" is refused

  Scenario: A final record is removed with its index entries after its retention time
    Given a service with an outcome query
    And the entry host "a" whose attempts are ""
    When "a" runs "k1"
    Then no record is removed after 59 seconds
    And the store is empty after the removal of expired records after 61 seconds

  Scenario: A patient request of a dead host is run again
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" accepts the patient request "p1" and crashes
    Then one sweep of "b" returns "p1" to run, owned by "b"

  Scenario: A response whose commit is not confirmed is returned, and committed later
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When the store loses all commits of "a" after the permission for "k1"
    Then the reply of "a" is ANSWERED
    And after a sweep of "a" the reply of "b" to "k1" is ANSWERED

  Scenario Outline: Transitions that the request lifecycle does not allow are refused
    Then the transition <transition> from <state> is refused for a non-repeatable call

    Examples:
      | transition                 | state       |
      | permit                     | dispatching |
      | permit again after bytes   | dispatching |
      | permit again by another    | dispatching |
      | finish                     | accepted    |
      | give up as never permitted | dispatching |
      | give up by another sender  | dispatching |
      | cancel                     | dispatching |
      | finish by stale owner      | dispatching |
      | take over                  | answered    |
      | resolve                    | answered    |

  Scenario: A purchase of a dead host is settled only after its permission has expired
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" crashes before it sends "k1"
    Then the sweeps of "b" return nothing for 2 seconds, and then "k1"

  Scenario: A refused request gets the response to an earlier request with its key
    Given a service with an outcome query
    And the entry hosts "a" and "b"
    When "a" runs "k1"
    And "b" has lost its lease and runs "k1"
    Then the reply of "b" is ANSWERED with the same answer
    When "b" has no backend server and runs "k1"
    Then the reply of "b" is ANSWERED with the same answer
    When "b" has no backend server and runs "k2"
    Then the reply of "b" is NOT_ACCEPTED
