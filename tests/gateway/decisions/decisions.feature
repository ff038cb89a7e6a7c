@gateway
Feature: Decisions of a gateway that need no network

  Scenario Outline: The next action after a failed backend attempt
    Given a <kind> request sent to <sent> of <max_backends> backend servers
    When the attempt ended as <outcome>
    Then the next action is <action> within the retry budget and <action_beyond> beyond it

    Examples:
      | kind           | sent | max_backends | outcome  | action      | action_beyond |
      | NOT_REPEATABLE | 0    | 1            | NOT_SENT | TRY_ANOTHER | TRY_ANOTHER   |
      | NOT_REPEATABLE | 1    | 1            | REJECTED | REFUSE      | REFUSE        |
      | NOT_REPEATABLE | 1    | 2            | REJECTED | TRY_ANOTHER | REFUSE        |
      | NOT_REPEATABLE | 1    | 2            | BROKEN   | FAIL        | FAIL          |
      | NOT_REPEATABLE | 1    | 2            | FAILED   | PASS_ON     | PASS_ON       |
      | IDEMPOTENT     | 1    | 2            | BROKEN   | TRY_ANOTHER | FAIL          |
      | IDEMPOTENT     | 1    | 2            | FAILED   | TRY_ANOTHER | PASS_ON       |
      | IDEMPOTENT     | 2    | 2            | BROKEN   | FAIL        | FAIL          |
      | STREAM         | 1    | 2            | BROKEN   | FAIL        | FAIL          |

  Scenario Outline: An unreachable backend server after one that may have run the request
    Given a <kind> request that an earlier backend server may have run
    When the next backend server is unreachable
    Then the next action is <action>

    Examples:
      | kind                 | action      |
      | NOT_REPEATABLE       | FAIL        |
      | STREAM               | FAIL        |
      | STREAM and resumable | TRY_ANOTHER |
      | IDEMPOTENT           | TRY_ANOTHER |

  Scenario: A request whose deadline has passed is not retried
    Then no kind of request is retried after any outcome without time left

  Scenario: A stream is split into the same events wherever its bytes are divided
    Then a stream divided at any positions gives the same events

  Scenario: A step of the host's clock does not change the corrected wall clock
    Given a gateway among 5 with equal clocks
    When its wall clock steps by 2400 s
    Then its corrected wall clock shows the true time

  Scenario: A gateway whose clock is ahead at its start adopts the time of its peers
    Given a gateway that started 2 s ahead of 5 peers
    When the gateway has received the time of all peers
    Then its corrected wall clock shows the true time

  Scenario: Usage adds up the latest counts of all gateways and of earlier starts
    Given a gateway that counted 3 requests, and a peer that reported 2, then 4
    And an earlier start of the peer that reported 5
    Then 12 requests are reported

  Scenario: A voter whose host came back with another disk is replaced at once
    Given a group of 3 voters of which one came back with an empty disk
    Then the next changes add the member of the zone without a voter, and remove the lost one

  Scenario: Leaving, silent and unreachable backend servers get no requests
    Given a fleet of 3 backend servers
    When one leaves, one is unreachable and one stays available
    Then only the available one gets requests
    When the available one becomes silent
    Then the unreachable one gets requests again after its backoff

  Scenario: Updates about a silent backend server do not make it alive
    Given a fleet of 3 backend servers
    When one has been silent for 4 s and a peer gateway sends an update about it
    Then the silent one does not count as alive

  Scenario: The outstanding work of peer gateways is counted until it is outdated
    Given a fleet of 3 backend servers
    When a peer gateway reports 5 requests at one of them
    Then 5 requests are in flight at that backend server, and none after 4 s

  Scenario: A warm-start file is read back completely or not at all
    Given a data folder with a saved configuration and 3 backend servers
    Then the configuration and the recently heard backend servers are restored
    And a truncated file or one with a changed byte restores nothing

  Scenario: Log lines stay within their budget, with a reserve for errors
    Given a log budget that info lines have used up
    Then errors are still logged, and dropped lines are counted

  Scenario: A log whose reader is stuck drops lines without blocking
    Given a log whose reader does not read
    When 3000 lines are logged
    Then logging took less than 1 s and some lines were dropped
