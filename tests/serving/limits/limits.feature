@requests
Feature: Limits of client accounts on entry hosts

  Scenario: Requests of an account at twenty times its limit are admitted at the limit
    Given 10 entry hosts with equal shares of 100 requests per second
    When 2000 requests per second arrive over all hosts for 20 seconds
    Then between 1990 and 2110 requests were admitted
    And a refused request is admitted after its retry delay

  Scenario: The limit of concurrent requests applies over all hosts
    Given 4 entry hosts with equal shares of 40 concurrent requests
    When 100 requests start and none ends
    Then 40 requests were admitted
    When 5 of the admitted requests end on one host
    Then that host admits 5 more requests

  Scenario: Generated tokens are charged when a request ends, and their debt is refilled
    Given 1 entry host with an allowance of 100 tokens per second
    When a request ends with 1000 generated tokens
    Then the next request is refused because of TOKENS for 9 to 10 seconds
    And a request is admitted after that time

  Scenario: A reduced share applies at once
    Given 1 entry host with an allowance of 100 tokens per second
    When the host's share of the allowance is reduced to a tenth
    Then at most 12 requests are admitted in the next second
