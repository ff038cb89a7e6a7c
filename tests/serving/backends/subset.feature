@routing
Feature: The subset of engines that an entry host follows

  Scenario: Subsets are zone-aware, steady and balanced
    Given 760 engines in 7 zones and 380 entry hosts that follow 24 each
    Then each follows 12 of its own zone and engines of every other zone
    And every engine is followed, none by more than 3 times the mean
    And when 1 engine goes each entry host changes at most 1 of its engines
    And when a zone goes no entry host keeps fewer than 24

  Scenario: A small deployment is followed whole
    Given 9 engines in 4 zones and 9 entry hosts that follow 24 each
    Then each follows all engines

  Scenario: Digests are packed and read again
    Then generated digests come out as they went in, but for rounding
    And bytes of another length are refused
