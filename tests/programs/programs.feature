@programs
Feature: The real programs as separate processes

  Scenario: Requests are served through kills, a settings change and a graceful stop
    Given 3 state, 2 control and 3 entry processes of "inyenyeri"
    And a stand-in engine and service that announce themselves
    When the operator applies the example settings
    Then all entry processes are ready and know 2 backend servers
    And a lookup, a purchase and a streamed draft are answered
    When the state leader, the active control and the first entry are killed
    Then a lookup, a purchase and a streamed draft are answered
    And the purchases made before give the same answers, executed once
    And another control process becomes active
    When the operator applies a settings change twice with one change id
    Then revision 2 is in force on every entry process
    And a change that expects revision 1 gets exit code 3
    And the operator's lists show the services, accounts and answered requests
    And the operator drains the second entry, which ends with code 0
    And all remaining processes stop gracefully

  Scenario: Programs check their settings and explain faults
    Then each program accepts its example and refuses a broken one with exit code 2
