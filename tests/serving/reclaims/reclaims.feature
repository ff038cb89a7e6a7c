@control
Feature: Handling of running requests when their hosts are reclaimed

  Scenario: The action depends on the remaining time, the loss and the free capacity
    Given importers "b-1,b-2" with a free capacity of 20000 tokens each
    Then a request that ends before the reclaim finishes at its engine
    And a request without tokens or with a small KV cache is handed over at once
    And requests with the largest losses are migrated first, the others handed over
    And a request that would miss its deadline is migrated before a larger one
    And no migration ends later than the margin before the reclaim

  Scenario: Migrations of 200 running drafts after a notice of 5 s
    Given importers "b-1,b-2,c-1,c-2" with a free capacity of 200000 tokens each
    Then of 200 drafts the migrations fit the links and use most of their capacity

  Scenario: Each request is resumed or handed over once under failures
    Then in 80 seeded reclaims with failing importers, a second notice and lost steps
    And each request finishes, or is resumed or handed over once per engine
    And no import goes to an engine under notice or to one where it failed before

  Scenario: Another process continues the recorded migrations
    Given a migration that was exported by a process that then crashed
    Then the next process imports the same handle and resumes the request there

  Scenario: Engines that are leaving or in zones under notice are not importers
    Then only engines of the same version outside zones under notice can import

  Scenario: Notices are recorded once, fenced, and continued by the next holder
    Given a control holder that recorded a notice for "a"
    Then only a notice with an earlier time or of a later reclaim writes a record
    And a holder that lost the lease can't write a notice
    And the next holder finds the notice, cancels it and deletes it after retention
