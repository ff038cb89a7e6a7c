@control
Feature: Streams are migrated off leaving engines

  Scenario: KV caches are migrated, and few tokens are recomputed
    Given an entry host and 3 engines with the reclaim policy "move_kv"
    When 6 long drafts run and the busiest engine is reclaimed after a notice
    Then each long draft is complete and has each token once
    And the streams of that engine resumed with their KV caches
    And no engine got new requests long after it announced that it is leaving
    Given an entry host and 3 engines with the reclaim policy "hand_over"
    When 6 long drafts run and the busiest engine is reclaimed after a notice
    Then each long draft is complete and has each token once
    And no KV cache was imported
    And migration recomputed at most a tenth of the tokens of handing over

  Scenario: Streams are complete although an importer is killed
    Given an entry host and 3 engines with the reclaim policy "move_kv"
    When 6 long drafts run and an engine is reclaimed and an importer is killed
    Then each long draft is complete and has each token once

  Scenario: Drafts with the same prefix find it in the cache
    Given an entry host and 3 engines with the reclaim policy "move_kv"
    When 9 drafts with the same long prefix are sent one after the other
    Then at least 7 drafts found their prefix in the cache
