@routing
Feature: Index of the prefix blocks that each engine holds

  Scenario: Events in any order lead to the blocks of the engine after resends
    Then in 200 generated runs late, duplicate and resent events lead to its blocks

  Scenario: Most indexed blocks are held although events are delayed by 30 s or lost
    Given an engine whose cache events are delayed by 30 s and one in ten is lost
    When the engine stores prompts for 10 min in a cache that is too small for all
    Then the engine holds at least 80 in 100 blocks that the view expects
    And the last event received without a gap is at most 60 s old

  Scenario: A gap without the missing event is skipped and old blocks are not trusted
    Given a block stored long ago and one stored now
    When an event is lost and not resent for 4 s
    Then only the block stored now is still expected
    And later events are applied without a gap

  Scenario: Eviction, clearing and a restart remove blocks
    Given a block stored long ago and one stored now
    Then evicting one, clearing all and forgetting the engine remove the blocks

  Scenario: The number of indexed blocks is limited
    Then of 50000 blocks at each of 5 engines 1000 per engine are indexed

  Scenario: Prefixes match by chained hashes, separately for each model and adapter
    Then equal prefixes share their leading blocks and nothing after a difference
    And prompts for another version or adapter share no block

  Scenario: A prefix that was expected but not found is removed
    Given a block stored long ago and one stored now
    Then a response that shows both blocks to be missing removes them
