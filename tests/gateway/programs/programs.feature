@gateway
Feature: Gateways as processes

  Scenario: A running process reloads its settings on SIGHUP
    Given 3 gateway processes that accept a configuration
    When its settings file is changed to other seeds and it gets SIGHUP
    Then it logs the new seeds and keeps serving
    When its settings file is truncated and it gets SIGHUP
    Then it logs the error and keeps serving with its settings
    When it gets SIGTERM
    Then it exits with code 0

  Scenario: SIGHUP before the process listens does not stop it
    Given a gateway process that is starting
    When it gets SIGHUP before it listens
    Then it still starts to listen
