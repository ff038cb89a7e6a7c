@gateway
Feature: Decisions of a gateway that need no network

  Scenario Outline: What follows when a backend server did not answer well
    Given a <kind> request sent to <sent> of <most> backend servers
    When the sending ended as <ending>
    Then the next step is <step> with budget and <without> without

    Examples:
      | kind           | sent | most | ending   | step        | without     |
      | NOT_REPEATABLE | 0    | 1    | NOT_SENT | TRY_ANOTHER | TRY_ANOTHER |
      | NOT_REPEATABLE | 1    | 1    | REJECTED | REFUSE      | REFUSE      |
      | NOT_REPEATABLE | 1    | 2    | REJECTED | TRY_ANOTHER | REFUSE      |
      | NOT_REPEATABLE | 1    | 2    | BROKEN   | FAIL        | FAIL        |
      | NOT_REPEATABLE | 1    | 2    | FAILED   | PASS_ON     | PASS_ON     |
      | IDEMPOTENT     | 1    | 2    | BROKEN   | TRY_ANOTHER | FAIL        |
      | IDEMPOTENT     | 1    | 2    | FAILED   | TRY_ANOTHER | PASS_ON     |
      | IDEMPOTENT     | 2    | 2    | BROKEN   | FAIL        | FAIL        |
      | STREAM         | 1    | 2    | BROKEN   | FAIL        | FAIL        |

  Scenario Outline: A backend server that is not reached after one that may have run it
    Given a <kind> request of which an earlier sending may have run
    When the next sending reached no backend server
    Then the next step is <step>

    Examples:
      | kind                 | step        |
      | NOT_REPEATABLE       | FAIL        |
      | STREAM               | FAIL        |
      | STREAM and resumable | TRY_ANOTHER |
      | IDEMPOTENT           | TRY_ANOTHER |

  Scenario: A request whose time is over goes nowhere else
    Then without time left nothing is tried again, for all kinds and endings

  Scenario: A stream is split into whole events wherever its bytes are cut
    Then any cuts of a stream give the same events

  Scenario: A step of the host's clock does not move the corrected one
    Given a gateway among 5 with equal clocks
    When its wall clock steps by 2400 s
    Then its corrected clock is right

  Scenario: A gateway that started within a step takes the others' clock
    Given a gateway that started 2 s ahead of 5 others
    When it has heard all of them
    Then its corrected clock is right

  Scenario: Usage of all gateways and starts adds up, each counted once
    Given a gateway that counted 3 requests, and another that told 2, then 4
    And an earlier start of the other one that told 5
    Then 12 requests are reported

  Scenario: One gateway founds the group, and only when none exists
    Given a first seed that knows 3 members for 1 s
    Then it founds the group at the lowest address
    And not with 2 members, not at once, and not when a configuration is known

  Scenario: A voter whose host came back with another disk is replaced at once
    Given a group of 3 voters of which one came back with an empty disk
    Then the next changes add the member of the zone without a voter, and remove it

  Scenario: Backend servers that leave, fall silent or can't be reached
    Given a fleet of 3 backend servers
    When one leaves, one can't be reached and one stays
    Then only the one that stays gets requests
    When the one that stays falls silent
    Then the one that could not be reached gets requests again after its time

  Scenario: News of dead backend servers do not bring them back
    Given a fleet of 3 backend servers
    When one has been silent for 4 s and another gateway tells of it
    Then it is not taken for alive

  Scenario: Work of other gateways is known, and forgotten when it is old
    Given a fleet of 3 backend servers
    When another gateway tells of 5 requests at one of them
    Then 5 requests run there, and none after 4 s

  Scenario: What a gateway remembers is read back whole, or not at all
    Given a data folder with a remembered configuration and 3 backend servers
    Then they are read back, and the backend servers as long as they are recent
    And a file that is cut or changed anywhere is read as nothing

  Scenario: Log lines stay within their budget, failures first
    Given a log budget that chatter has used up
    Then failures are still logged, and lines that were dropped are counted

  Scenario: A reader that stands still costs lines, not time
    Given a log whose reader does not read
    When 3000 lines are logged
    Then logging took less than 1 s and some lines were dropped
