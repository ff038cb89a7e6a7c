@state
Feature: The history of accepted settings

  Scenario: Of two operators with equal numbers one wins and one sees the other
    Given an empty settings history
    When "ana" applies change "a1" with "x: 1" expecting revision 0
    And "ben" applies change "b1" with "x: 2" expecting revision 0
    Then change "a1" is revision 1
    And change "b1" conflicts with revision 1 by "ana"

  Scenario: Files that do not validate are refused before acceptance
    Given an empty settings history
    When "ana" applies change "a1" with "faulty" expecting revision 0
    Then change "a1" is refused for "base: faulty"
    And the current revision is 0

  Scenario: A change id is not taken twice for different files
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

  Scenario: Revisions beyond the kept ones have no files, and ids stay known
    Given an empty settings history that keeps 5 revisions
    When 1000 changes are applied
    Then the first change sent again is still revision 1
    And rolling back to 1 is refused and to 996 is not

  Scenario: Operators race and resend through lost requests and answers
    Then 300 seeded races have no fault

  Scenario: The races find a history that forgets change ids
    Then seeded races find a history that forgets change ids

  Scenario: The races find a history that does not compare numbers
    Then seeded races find a history that does not compare numbers
