@gateway
Feature: Limits that backend servers name for all gateways together

  # Guards against gateways that do not know a backend server's limit, or each send as many
  # requests as it allows all of them.
  Scenario: A backend server that names a limit gets no more from all gateways together
    Given 6 gateways and 3 engines that take 24 requests a second
    When the first engine names a limit of 1 for 10 s
    Then from 3 s on it gets at most 11 requests in any 4 s, and at least 2 in all
    And at least 95 in 100 requests are served meanwhile

  Scenario: A higher limit is obeyed and used as soon as it is named
    Given 6 gateways and 3 engines that take 24 requests a second
    When the first engine names a limit of 1 for 5 s
    And the first engine names a limit of 3 for 9 s
    Then from 3 s on it gets at most 23 requests in any 4 s, and at least 9 in all

  Scenario: A backend server that names no limit any more gets its share again
    Given 6 gateways and 3 engines that take 24 requests a second
    When the first engine names a limit of 1 for 5 s
    And the first engine names no limit for 8 s
    Then from 4 s on it gets at least 12 requests in some 4 s

  # Guards against two owners of one limit, and against a limit forgotten at a restart.
  Scenario: A limit is obeyed while gateways restart
    Given 6 gateways and 3 engines that take 24 requests a second
    When the first engine names a limit of 1 for 16 s while gateways restart in turn
    Then from 3 s on it gets at most 11 requests in any 4 s, and at least 2 in all

  # Guards against limits that add up over many gateways.
  Scenario Outline: <count> gateways <circumstance> obey a limit of <limit> together
    Given <count> gateways <circumstance> and a backend server that names <limit>
    When requests arrive at all of them at 20 times the limit for <duration> s
    Then the backend server gets at most what it bears in any 4 s, and half of its limit

    Examples:
      | count | circumstance                       | limit | duration |
      | 9     | in calm                            | 1     | 30       |
      | 9     | in calm                            | 0.25  | 60       |
      | 9     | in calm                            | 20    | 20       |
      | 93    | in calm                            | 1     | 30       |
      | 93    | in calm                            | 10    | 20       |
      | 9     | whose frames are late              | 2     | 30       |
      | 93    | whose frames are late              | 2     | 30       |
      | 93    | that do not see a few of the peers | 2     | 30       |
      | 9     | whose owner is stopped for 4 s     | 2     | 30       |

  Scenario: The latest statement on a limit is in force, whichever gateway received it
    Given two gateways that know a limit of 2 from a response at 10 s
    When a response at 11 s to a request sent at 9 s names none
    Then both know a limit of 2
    When a response at 12 s to a request sent at 11 s names 3
    Then both know a limit of 3
    When a response at 14 s to a request sent at 13 s names none
    Then both know no limit
    And reports of the earlier limits change nothing

  Scenario: Limits of backend servers that are gone are forgotten
    Given two gateways that know a limit of 2 from a response at 10 s
    Then the limit is kept while the backend server is known, and forgotten 10 s after
