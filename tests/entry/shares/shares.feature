@state
Feature: Entry hosts apply shares of limits that follow demand

  Scenario: The active control process grants most of an account's limit to the busy host
    Given a control process and 2 entry processes with membership
    And settings with the client account "choir" at 100 requests per second
    When all requests of "choir" come to one entry process
    Then its share grows above 70 requests per second and the other's stays at 30 or less
    When the control process is stopped
    Then the share falls back to the safe share of 25 requests per second
    And the dump of each entry process shows the members and its settings revision

  # Guards against a starting entry host that takes itself for the only one.
  Scenario: An entry host is not ready before it knows the other entry hosts
    Given a control process and 1 entry processes with membership
    And settings with the client account "choir" at 100 requests per second
    When the entry process has not yet read the keys of the entry hosts
    Then it is not ready
    When it has read the keys of 3 entry hosts
    Then it is ready and divides the limits by 3
