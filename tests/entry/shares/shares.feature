@state
Feature: Entry hosts follow shares of limits by demand

  Scenario: The busy host gets most of an account's limit from the active control process
    Given a control process and 2 entry processes with membership
    And settings with the client account "choir" at 100 requests per second
    When all requests of "choir" come to one entry process
    Then its share grows above 70 requests per second and the other's stays at 30 or less
    When the control process is gone
    Then the share falls to the safe 25 requests per second
    And the dump of each process shows the other ones as alive and its settings
