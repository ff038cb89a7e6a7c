@replay
Feature: Recorded traces

  Scenario: What is written is read again
    Then every generated trace survives writing and reading

  Scenario: The shipped traces are what the recorder makes
    Then each shipped trace equals the recorder's with its seed
    And each has the sizes of its firm

  Scenario Outline: A broken line is named
    Given a small trace whose line <line> becomes <text>
    Then reading it fails at line <line> with "<reason>"

    Examples:
      | line | text                                          | reason          |
      | 1    | {"type":"request"}                            | want 'trace'    |
      | 1    | {"type":"trace","version":2}                  | found 2, want 1 |
      | 2    | {"type":"request"                             | unexpected end  |
      | 2    | {"type":"flood","at_ms":1}                    | found 'flood'   |
      | 2    | {"type":"entry_death","at_ms":1}              | is missing      |
      | 2    | {"type":"entry_death","at_ms":1,"entry":true} | found bool      |
      | 2    | {"type":"entry_death","at_ms":-1,"entry":0}   | found -1        |
      | 2    | {"type":"entry_death","at_ms":1,"entry":0,"x":1} | unknown keys x |
      | 3    | null                                          | want an object  |

  Scenario: Whatever bytes stand in a trace, it is read or refused
    Then no changed trace raises anything but a trace error
