@state
Feature: The replicated store

  Scenario: Of two writes that expect the same revision one is applied, one conflicts
    Given an empty store
    When "ana" puts "settings" expecting revision 0
    And "ben" puts "settings" expecting revision 0
    Then "ana" gets APPLIED
    And "ben" gets CONFLICT showing "ana"

  Scenario: A resent change is applied once
    Given an empty store
    When change "c1" puts "key" twice
    Then the store is at revision 1
    And both results are equal

  Scenario: Fencing numbers only increase
    Given an empty store
    When "a" acquires the lease "control"
    And the lease "control" expires
    And "b" acquires the lease "control"
    Then the lease "control" has holder "b" and fencing number 2
    And a write with fencing number 1 is refused
    And a write with fencing number 2 is applied
