@state
Feature: History of accepted settings

  Scenario: Of two changes to the same revision one is accepted and one conflicts
    Given an empty settings history
    When "ana" applies change "a1" with "x: 1" expecting revision 0
    And "ben" applies change "b1" with "x: 2" expecting revision 0
    Then change "a1" is revision 1
    And change "b1" conflicts with revision 1 by "ana"

  Scenario: A change with invalid files is refused
    Given an empty settings history
    When "ana" applies change "a1" with "faulty" expecting revision 0
    Then change "a1" is refused for "base: faulty"
    And the current revision is 0

  Scenario: A change with the id of an earlier change but other files is refused
    Given an empty settings history
    When "ana" applies change "a1" with "x: 1" expecting revision 0
    And "ana" applies change "a1" with "x: 2" expecting revision 1
    Then change "a1" is refused for "change a1 was accepted earlier with other files"

  Scenario: A rollback is a new revision
    Given an empty settings history
    When "ana" applies change "a1" with "x: 1" expecting revision 0
    And "ana" applies change "a2" with "x: 2" expecting revision 1
    And "ana" rolls back to 1 as change "a3" expecting revision 2
    Then change "a3" is revision 3
    And the current files are "x: 1"
    And the history is "a3 a2 a1"

  Scenario: Files of old revisions are dropped, but their change ids are still known
    Given an empty settings history that stores the files of 5 revisions
    When 1000 changes are applied
    Then the first change still is revision 1 when it is resent
    And rolling back to revision 1 is refused and to revision 996 is accepted

  Scenario: Concurrent operators resend changes after lost requests and responses
    Then 300 seeded races have no violation

  Scenario: The races detect a history that forgets change ids
    Then seeded races detect a history that forgets change ids

  Scenario: The races detect a history that does not compare revisions
    Then seeded races detect a history that does not compare revisions
