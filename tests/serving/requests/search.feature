@requests
Feature: Exhaustive search of the event orders in the request lifecycle

  Explores every order of events of one non-repeatable request on two entry hosts:
  crashes, restarts, expired leases, lost and delayed commits, refused connections,
  lost responses, delayed executions, failed outcome queries and operator actions.

  Scenario Outline: No event order executes a request twice, loses it or misreports it
    Given the faults <faults> and a service <query> an outcome query
    When all event orders are searched
    Then no violation is found

    Examples:
      | faults                             | query   |
      | crash expiry commit answer         | with    |
      | crash expiry commit answer         | without |
      | crash restart refused failed_query | with    |
      | crash expiry refused failed_query  | with    |
      | crash restart expiry answer        | without |

  Scenario Outline: The search finds an injected defect
    Given the faults expiry commit answer and a service <query> an outcome query
    And the injected defect "<defect>"
    When all event orders are searched
    Then the violation "<violation>" is found

    Examples:
      | defect                       | query   | violation      |
      | retry after the first byte   | with    | executed twice |
      | send after a takeover        | with    | executed twice |
      | send on unconfirmed commit   | with    | executed twice |
      | settle before expiry         | without | false not run  |
