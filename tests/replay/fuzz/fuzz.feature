@replay @fuzz
Feature: Whatever outsiders send is taken or refused

  No crash, no hang, no traceback to the sender, and afterwards an orderly
  request is answered as before.

  Scenario Outline: Readers of what comes from outside
    Then <what> is read or refused as <refusal>

    Examples:
      | what                     | refusal         |
      | a changed settings file  | SettingsError   |
      | an announcement          | ProblemError    |
      | an engine's event        | malformed event |
      | a datagram without key   | dropped         |
      | a stored group's files   | StorageError    |
      | a result file            | ResultError     |

  Scenario: A replicated command of any content has a result
    Then the store answers every command and stays usable

  Scenario: A member's packet of any content is handled
    Then the membership core handles every packet

  Scenario: Calls and log messages of any content to a state member
    Given a single state member
    Then it answers or refuses every call, and still commits

  Scenario: Raw bytes to an entry host's listeners
    Given an entry host with a plain service and an engine
    Then callers' bytes of any kind get no traceback and no server error
    And announcements of any kind get no traceback and no server error
    And an orderly lookup, purchase and draft are answered
    And the memory has grown by less than 64 MB

  Scenario: Headers that backend servers obey are not taken from callers
    Given an entry host with a plain service and an engine
    Then a caller who sends each of them changes neither order nor answer

  Scenario: The access log of an entry host becomes a trace without contents
    Given an entry host with a plain service and an engine
    When its log is kept while a lookup, a purchase and a draft are answered
    Then the log becomes a trace of the three

  Scenario: Backend servers that answer anything
    Given an entry host whose backend servers answer anything
    Then callers get answers or problems in time, no traceback and no server error

  Scenario: A cloud that answers anything
    Then the cloud client returns results or errors with their step, in time
