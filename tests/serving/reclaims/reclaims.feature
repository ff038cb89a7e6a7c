@control
Feature: Handling of running requests on reclaimed hosts

  Scenario: The action depends on the remaining time, the loss and the free capacity
    Given importers "b-1,b-2" with a free capacity of 20000 tokens each
    Then a request that ends in time finishes in place
    And a request without tokens or with a small KV cache is handed over at once
    And the largest losses are migrated first and the rest is handed over
    And a request that would miss its deadline precedes a larger one
    And no migration ends later than the margin before the reclaim

  Scenario: 200 running drafts and a notice of 5 s
    Given importers "b-1,b-2,c-1,c-2" with a free capacity of 200000 tokens each
    Then of 200 drafts the migrations fit the links and use most of their capacity

  Scenario: Each request is settled once under failures
    Then in 80 seeded reclaims with failing importers, a second notice and lost steps
    And each request finishes, is resumed or handed over once per engine
    And no import goes to an engine under notice or to one where it failed before

  Scenario: Another process continues the recorded migrations
    Given a migration that was exported by a process that then crashed
    Then the next process imports the same handle and resumes there

  Scenario: Engines that are leaving or in zones under notice are not importers
    Then only engines of the same version outside noticed zones can import

  Scenario: Notices are recorded once, fenced, and continued by the next holder
    Given a control holder that recorded a notice for "a"
    Then a notice with the same or a later time writes nothing and an earlier one does
    And a holder that lost the lease can't write
    And the next holder finds the notice, cancels it and deletes it after retention
