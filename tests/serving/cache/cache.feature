@routing
Feature: Index of the prefix caches

  Scenario: Events in any order lead to the state of the engine after resends
    Then in 200 generated runs late, duplicate and resent events lead to its blocks

  Scenario: Events are delayed by 30 s and one in ten is lost
    Given an engine whose cache events are delayed by 30 s and one in ten is lost
    When it runs for 10 min under memory pressure
    Then the engine holds at least 80 in 100 blocks that the view expects
    And the last event received without a gap is at most 60 s old

  Scenario: A gap that is not closed is skipped and old blocks are no longer trusted
    Given a block stored long ago and one stored now
    When an event is lost and not resent for 4 s
    Then only the block stored now is still expected
    And later events are applied without a gap

  Scenario: Eviction, clearing and a restart remove blocks
    Given a block stored long ago and one stored now
    Then evicting one, clearing all and forgetting the engine remove them

  Scenario: Memory is bounded
    Then of 50000 blocks at each of 5 engines 1000 per engine are indexed

  Scenario: Prefixes match by chained hashes, separately for each model and adapter
    Then equal prefixes share their leading blocks and nothing after a difference
    And another version or adapter shares no block

  Scenario: A prefix that was expected but not found is removed
    Given a block stored long ago and one stored now
    Then a response that shows them to be missing removes them
