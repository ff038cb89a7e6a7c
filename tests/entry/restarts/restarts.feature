@requests
Feature: Entry processes are restarted and killed under load

  Scenario: Restarting all entry processes in turn, then killing one, loses no purchase
    Given 3 entry processes behind a load balancer, and a seat service
    And callers that buy seats continuously
    When all entry processes are restarted in turn
    Then every stop ended with exit code 0
    When one entry process is killed
    And the callers have finished
    Then each purchase was answered and executed once, or was not run as reported
