@state
Feature: The replicated store

  Scenario: Of two writers with the same revision one wins and one sees the other
    Given an empty store
    When "ana" puts "settings" expecting revision 0
    And "ben" puts "settings" expecting revision 0
    Then "ana" gets APPLIED
    And "ben" gets CONFLICT showing "ana"

  Scenario: A change that is sent again is applied once
    Given an empty store
    When the change "c1" puts "key" twice
    Then the store is at revision 1
    And both answers are equal

  Scenario: A fencing number only grows
    Given an empty store
    When "a" acquires the lease "control"
    And the lease "control" lapses
    And "b" acquires the lease "control"
    Then the lease "control" has holder "b" and number 2
    And a write fenced with number 1 is refused
    And a write fenced with number 2 is applied
