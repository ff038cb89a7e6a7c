@replay
Feature: Trace files and generated traces

  Scenario: A written trace is read back unchanged
    Then arbitrary traces are equal after writing and reading

  Scenario: The shipped traces equal the generator's output
    Then each shipped trace equals the generated trace of its seed
    And each has as many backend servers, zones and accounts as its firm

  Scenario Outline: An invalid line is reported with its number
    Given a small trace whose line <line> is replaced by <text>
    Then reading the trace fails at line <line> with "<reason>"

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

  Scenario: Mutated trace files are read or refused
    Then reading a mutated trace raises nothing but TraceError
