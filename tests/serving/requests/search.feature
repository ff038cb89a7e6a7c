@requests
Feature: Exhaustive search of the life of a request

  Two entry hosts, one key that may not be repeated, and all orders of crashes,
  restarts, lost leases, lost and late commits, refused connections, lost
  answers, late executions, failed outcome queries and operators.

  Scenario Outline: No order of events doubles, loses or belies a request
    Given the faults <faults> and a service <query> an outcome query
    When all orders of events are searched
    Then no fault is found

    Examples:
      | faults                             | query   |
      | crash lapse commit answer          | with    |
      | crash lapse commit answer          | without |
      | crash restart refused failed_query | with    |
      | crash lapse refused failed_query   | with    |
      | crash restart lapse answer         | without |

  Scenario Outline: A planted fault is found
    Given the faults lapse commit answer and a service <query> an outcome query
    And the planted fault "<plant>"
    When all orders of events are searched
    Then the fault "<fault>" is found

    Examples:
      | plant                        | query   | fault          |
      | retries after the first byte | with    | executed twice |
      | takeover sends again         | with    | executed twice |
      | sends unconfirmed            | with    | executed twice |
      | settles early                | without | false not run  |
