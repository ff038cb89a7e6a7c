@requests
Feature: Admission control of an entry host

  Scenario: Purchases are admitted while the drafting load is three times the capacity
    Given an entry host for 64 requests with 20 slots, 20% for urgent requests
    And the loads
      | name      | account | priority | per_s | hold_s | deadline_s |
      | drafts    | choir   | low      | 30    | 2.0    | 60         |
      | purchases | family  | urgent   | 8     | 0.2    | 5          |
    When they run for 300 seconds
    Then 0 "purchases" were refused or overdue
    And 99 in 100 "purchases" waited at most 0.5 seconds
    And some "drafts" were refused
    And 0 "drafts" were overdue

  Scenario: Without reserved capacity the same load delays purchases
    Given an entry host for 64 requests with 20 slots, 0% for urgent requests
    And the loads
      | name      | account | priority | per_s | hold_s | deadline_s |
      | drafts    | choir   | low      | 30    | 2.0    | 60         |
      | purchases | family  | urgent   | 8     | 0.2    | 5          |
    When they run for 300 seconds
    Then 1 in 100 "purchases" waited over 0.5 seconds

  Scenario: An account with twenty times its share of requests does not delay another
    Given an entry host for 400 requests with 20 slots, 0% for urgent requests
    And the loads
      | name  | account | priority | per_s | hold_s | deadline_s |
      | greedy| big     | normal   | 200   | 1.0    | 10         |
      | small | parish  | normal   | 9     | 1.0    | 10         |
    When they run for 200 seconds
    Then 0 "small" were refused or overdue
    And 95 in 100 "small" waited at most 3 seconds

  Scenario: Low-priority requests complete while the normal load is twice the capacity
    Given an entry host for 400 requests with 20 slots, 0% for urgent requests
    And the loads
      | name   | account | priority | per_s | hold_s | deadline_s |
      | normal | court   | normal   | 40    | 1.0    | 20         |
      | drafts | law     | low      | 0.5   | 1.0    | 600        |
    When they run for 300 seconds
    Then 0 "drafts" were refused or overdue
    And 95 in 100 "drafts" waited at most 60 seconds

  Scenario: A refused request is admitted when it is retried after the stated delay
    Given an entry host for 400 requests with 10 slots, 0% for urgent requests
    And the loads
      | name   | account | priority | per_s | hold_s | deadline_s |
      | normal | court   | normal   | 40    | 1.0    | 4          |
    When they run for 60 seconds and then no more requests arrive
    Then the last refused "normal" request is admitted after its retry delay

  Scenario: A host that shuts down or has no backend server refuses requests at once
    Given an entry host for 64 requests with 0 slots, 20% for urgent requests
    Then a request is refused with NO_BACKEND
    When the host starts to shut down
    Then a request is refused with DRAINING
