@operator
Feature: From a request's id to its cause

  Scenario: The way of a request through several processes, with its cause
    Given logs of two processes in which a stream moved and was then broken off
    When the request is explained
    Then its lines come in order of time, with the cause and what to look at next
    And the backend server's leaving is shown, other requests are not

  Scenario: Lines that are no JSON, and text before the JSON, do no harm
    Given logs with text before each line and damaged lines
    When the request is explained
    Then the cause is named

  Scenario: A request that no line names is an error
    Given logs of two processes in which a stream moved and was then broken off
    When an unknown request is explained
    Then the command fails and says how many lines it read
