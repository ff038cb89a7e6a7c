@requests
Feature: Limits of client accounts on entry hosts

  Scenario: An account that sends twenty times its limit gets exactly its limit
    Given 10 entry hosts with equal shares of 100 requests per second
    When 2000 requests per second arrive over all hosts for 20 seconds
    Then between 1990 and 2110 requests were admitted
    And a request is admitted after the retry delay of its refusal

  Scenario: The limit of concurrent requests applies over all hosts
    Given 4 entry hosts with equal shares of 40 concurrent requests
    When 100 requests start and none ends
    Then 40 requests were admitted
    When 5 of them end on one host
    Then that host admits 5 more

  Scenario: Generated tokens are charged afterwards and their debt is refilled
    Given 1 entry host with an allowance of 100 tokens per second
    When a request ends with 1000 tokens
    Then the next request is refused for TOKENS for 9 to 10 seconds
    And it is admitted after that time

  Scenario: A reduced share applies at once
    Given 1 entry host with an allowance of 100 tokens per second
    When its share is reduced to a tenth
    Then at most 12 requests are admitted in the next second
