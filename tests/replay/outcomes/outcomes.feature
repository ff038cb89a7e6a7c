@replay
Feature: Expected outcomes are evaluated by responses and executions

  Scenario: A correct relay passes every outcome
    Given a short trace of plain calls and model requests
    When the trace is replayed through a correct relay
    Then every outcome passes and applies to at least one request or backend server
    And the results are equal after writing and reading a result file
    And the report has the verdicts, plots and timeline

  Scenario Outline: An injected defect is found, with the requests that it affects
    Given a short trace of plain calls and model requests
    When the trace is replayed through a relay with the defect "<defect>"
    Then the outcome "<outcome>" fails and names the ids that violate it
    And no outcome except "<allowed>" fails

    Examples:
      | defect        | outcome          | allowed                                         |
      | lost          | answered         | answered deadlines latency refused_share        |
      | doubled       | executed_once    | executed_once                                   |
      | wrong caller  | right_answer     | right_answer answered                           |
      | false not run | not_run_is_true  | not_run_is_true refused_share deadlines         |
      | out of order  | streams_in_order | streams_in_order right_answer answered          |
      | cut short     | answered         | answered deadlines latency                      |
      | late work     | no_late_work     | no_late_work                                    |

  Scenario: The wait behind a slow response counts as lateness and latency
    Then 20 requests queued behind a 400 ms response include the wait in their times

  Scenario: Runs are compared by seed
    Then runs of two labels and three seeds give mean, minimum and maximum ratio

  Scenario: An access log is converted to a trace
    Then a log of three requests becomes a trace that can be read
    And an invalid access entry is reported with its line number

  Scenario: The commands check, compare, show and report
    Given a short trace of plain calls and model requests
    Then check, compare, show and report succeed, and check fails with a defect

  Scenario: The command run replays a window against a deployment in this process
    Then run and check succeed on 4 s of drafts and filings while an entry host crashes
