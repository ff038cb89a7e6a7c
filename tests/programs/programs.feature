@programs
Feature: The programs run as separate processes

  Scenario: Requests are served through kills, a settings change and a graceful stop
    Given 3 state, 2 control and 3 entry processes of "inyenyeri"
    And a stand-in engine and service that announce themselves
    When the operator applies the example settings
    Then all entry processes are ready and list 2 backend servers
    And a lookup, a purchase and a streamed draft are answered
    When the state leader, the active control and the first entry process are killed
    Then a lookup, a purchase and a streamed draft are answered
    And the earlier purchases, sent again, get the same responses and were executed once
    And another control process becomes active
    When the operator applies a settings change twice with the same change id
    Then revision 2 is in force on every entry process
    And a change that expects revision 1 is refused with exit code 3
    And the operator lists the services, accounts and answered requests
    And the operator drains the second entry process, which exits with code 0
    And all remaining processes stop gracefully with exit code 0

  Scenario: Programs validate their settings and report faults
    Then each program accepts its example and refuses an invalid one with exit code 2
