@requests
Feature: Limits of client accounts

  Scenario: An account at twenty times its limit gets its limit and no more
    Given 10 entry hosts with equal shares of 100 requests per second
    When 2000 requests per second come to all hosts for 20 seconds
    Then between 1990 and 2110 requests were let through
    And each refusal's time was enough

  Scenario: Concurrent requests hold over all hosts
    Given 4 entry hosts with equal shares of 40 concurrent requests
    When 100 requests start and none ends
    Then 40 requests were let through
    When 5 of them end on one host
    Then that host lets 5 more through

  Scenario: Tokens are charged when they are made and the debt is paid off
    Given 1 entry host with an allowance of 100 tokens per second
    When a request ends with 1000 tokens
    Then the next request is refused for TOKENS for 9 to 10 seconds
    And it is let through after that time

  Scenario: A share that shrinks holds at once
    Given 1 entry host with an allowance of 100 tokens per second
    When its share falls to a tenth
    Then at most 12 requests pass in the next second
