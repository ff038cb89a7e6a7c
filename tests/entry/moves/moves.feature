@control
Feature: Streams are moved off engines that leave

  Scenario: KV caches go along, and little is computed again
    Given an entry host and 3 engines with the reclaim policy "move_kv"
    When 6 long drafts run and the busiest engine is reclaimed after a notice
    Then each long draft is whole, with each token once
    And the streams of that engine went on with their KV caches
    And no engine was sent work long after it said that it leaves
    Given an entry host and 3 engines with the reclaim policy "hand_over"
    When 6 long drafts run and the busiest engine is reclaimed after a notice
    Then each long draft is whole, with each token once
    And no KV cache was moved
    And moving recomputed at most a tenth of the tokens of handing over

  Scenario: An importer that dies leaves the streams whole
    Given an entry host and 3 engines with the reclaim policy "move_kv"
    When 6 long drafts run and an engine is reclaimed and an importer dies
    Then each long draft is whole, with each token once

  Scenario: Drafts with the same beginning go where it is cached
    Given an entry host and 3 engines with the reclaim policy "move_kv"
    When 9 drafts with the same long beginning are sent one after the other
    Then at least 7 of them found their beginning in the cache
