@gateway
Feature: Gateways as processes

  Scenario: A running process reloads its settings on SIGHUP
    Given 3 gateway processes that accept a configuration
    When one settings file gets other seeds and its process gets SIGHUP
    Then the process logs the new seeds and keeps serving
    When that settings file is truncated and its process gets SIGHUP
    Then the process logs the error and keeps serving with its settings
    When the process gets SIGTERM
    Then the process exits with code 0

  Scenario: SIGHUP before the process listens does not stop it
    Given a gateway process that is starting
    When the process gets SIGHUP before it listens
    Then the process still starts to listen
