@gateway
Feature: Gateways as processes

  Scenario: A process told to reload takes over its settings and goes on
    Given 3 gateway processes that accept a configuration
    When its settings file names other seeds and it gets SIGHUP
    Then it logs the other seeds and serves on
    When its settings file is cut short and it gets SIGHUP
    Then it logs why it keeps its settings and serves on
    When it gets SIGTERM
    Then it ends by itself with exit code 0

  Scenario: A process told to reload before it listens goes on
    Given a gateway process that starts
    When it gets SIGHUP before it listens
    Then it listens all the same
