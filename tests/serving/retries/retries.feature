@requests
Feature: Retries and hedging

  Scenario: Retries stay a share of the first attempts if all attempts fail
    Given a retry budget of 0.1
    When 10000 first attempts fail and each requests a retry
    Then at most 1010 retries are granted

  Scenario: Each service and client account has its own budget
    Given a retry budget of 0.1
    When the client account "a" exhausts its budget
    Then the client account "b" is granted a retry

  Scenario Outline: A call that can't succeed or may have run is not retried
    Then a <kind> call that failed <phase> with <status> is retried: <retried>

    Examples:
      | kind           | phase    | status | retried |
      | IDEMPOTENT     | NOT_SENT | 0      | yes     |
      | IDEMPOTENT     | SENT     | 0      | yes     |
      | IDEMPOTENT     | ANSWERED | 503    | yes     |
      | IDEMPOTENT     | ANSWERED | 400    | no      |
      | IDEMPOTENT     | ANSWERED | 500    | no      |
      | NOT_REPEATABLE | NOT_SENT | 0      | yes     |
      | NOT_REPEATABLE | SENT     | 0      | no      |
      | NOT_REPEATABLE | ANSWERED | 503    | no      |
      | PATIENT        | SENT     | 0      | yes     |

  Scenario: A call that another layer retries is not retried again
    Then a call that its caller retries is retried only if no byte of it was sent

  Scenario: Backoff has full jitter, doubles up to a maximum and respects the deadline
    Then 1000 backoffs of attempt 3 spread between 0 and 0.2 seconds
    And no backoff is longer than 2 seconds
    And no wait before a retry passes the deadline

  Scenario: Lookups are hedged at the measured percentile
    Given measured latencies of 1 to 200 ms
    Then at percentile 95 a lookup is hedged after 188 to 194 ms
    And at percentile 0 no lookup is hedged
    And no lookup is hedged before 100 latencies were measured
