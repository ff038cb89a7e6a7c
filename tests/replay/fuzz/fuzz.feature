@replay @fuzz
Feature: Untrusted input is accepted or refused

  No input causes a crash, a hang or a traceback in a response; valid requests are
  answered afterwards as before.

  Scenario Outline: Parsers of untrusted input
    Then <input> is read or refused as <refusal>

    Examples:
      | input                    | refusal         |
      | a mutated settings file  | SettingsError   |
      | an announcement          | ProblemError    |
      | an engine's event        | malformed event |
      | a forged datagram        | dropped         |
      | a mutated group folder   | StorageError    |
      | a mutated result file    | ResultError     |

  Scenario: Arbitrary replicated commands have a result
    Then the store returns a result for every command and stays usable

  Scenario: Arbitrary membership packets are handled
    Then the membership core handles every packet

  Scenario: Arbitrary calls and log messages to a state member
    Given a single state member
    Then the state member answers or refuses every call, and still commits

  Scenario: Arbitrary bytes to an entry host's listeners
    Given an entry host with a plain service and an engine
    Then arbitrary bytes to the callers' listener cause no traceback and no status 500
    And arbitrary announcements cause no traceback and no status 500
    And a valid lookup, purchase and draft are answered
    And the memory has grown by less than 64 MB

  Scenario: Headers that control backend servers are not accepted from callers
    Given an entry host with a plain service and an engine
    Then a caller that sends these headers changes neither priority nor response

  Scenario: The access log of an entry host becomes a trace without prompts
    Given an entry host with a plain service and an engine
    When the entry host logs the responses to a lookup, a purchase and a draft
    Then the log becomes a trace of the three requests

  Scenario: Backend servers with arbitrary responses
    Given an entry host whose backend servers send arbitrary bytes
    Then callers get responses in time, without a traceback or status 500

  Scenario: A cloud API with arbitrary responses
    Then the cloud client returns results or errors with their step
