@replay
Feature: Stated outcomes are judged from both ends

  Scenario: An orderly relay passes every outcome
    Given a short trace of both kinds of work
    When it is played through an orderly relay
    Then every outcome passes and has been judged on something
    And the result file gives the same verdicts when read again
    And the report page holds the verdicts, plots and timeline

  Scenario Outline: A planted fault is found, with the requests that broke it
    Given a short trace of both kinds of work
    When it is played through a relay with the fault "<fault>"
    Then the outcome "<outcome>" fails and names requests
    And no outcome but "<others>" fails

    Examples:
      | fault         | outcome          | others                                          |
      | lost          | answered         | answered deadlines latency refused_share        |
      | doubled       | executed_once    | executed_once                                   |
      | wrong caller  | right_answer     | right_answer answered                           |
      | false not run | not_run_is_true  | not_run_is_true refused_share deadlines         |
      | out of order  | streams_in_order | streams_in_order right_answer answered          |
      | cut short     | answered         | answered deadlines latency                      |
      | late work     | no_late_work     | no_late_work                                    |

  Scenario: A slow answer holds back no later request, and its wait is counted
    Then 20 requests behind a stall of 400 ms on one thread count the wait

  Scenario: Runs are compared seed by seed
    Then runs of two labels and three seeds give ratios with their spread

  Scenario: An access log becomes a trace
    Then a log of three requests becomes a trace that is read again
    And a broken access line is named by its number

  Scenario: The command line plays, checks, compares and reports
    Given a short trace of both kinds of work
    Then run, check, compare, show and report end well on an orderly relay

  Scenario: The command line plays a window against a deployment in this process
    Then run and check end well on 4 s of the shipped night with an entry host dying
