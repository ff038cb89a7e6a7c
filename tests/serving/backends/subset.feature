@routing
Feature: The subset of engines that an entry host follows

  Scenario: Subsets are zone-aware, stable and balanced
    Given 760 engines in 7 zones and 380 entry hosts that follow 24 each
    Then each entry host follows 12 of its own zone and engines of every other zone
    And every engine is followed, none by more than 3 times the mean number of hosts
    And when 1 engine stops each entry host replaces at most 1 of its engines
    And when a zone is lost each entry host still follows 24 engines

  Scenario: In a small deployment all engines are followed
    Given 9 engines in 4 zones and 9 entry hosts that follow 24 each
    Then each entry host follows all engines

  Scenario: Digests are serialized and deserialized
    Then generated digests are equal after a round trip, except for rounding
    And bytes whose length is not a multiple of a digest's size are refused
