@state
Feature: Leases as acquired and renewed by their holders

  Scenario: An isolated holder stops acting when its lease ends by its own clock
    Given keepers "a" and "b" of one lease of 1000 ms
    When "a" runs its due steps at 0 ms
    Then "a" holds the lease at 0 ms with fencing number 1
    When "a" runs its due steps at 300 ms
    And "a" is isolated
    And "a" runs its due steps at 900 ms
    Then "a" holds the lease at 1100 ms with fencing number 1
    And "a" does not hold the lease at 1180 ms

  Scenario: The next holder gets a larger fencing number after a release
    Given keepers "a" and "b" of one lease of 1000 ms
    When "a" runs its due steps at 0 ms
    And "b" runs its due steps at 10 ms
    Then "b" does not hold the lease at 10 ms
    When "a" releases the lease at 20 ms
    And "b" runs its due steps at 200 ms
    Then "a" does not hold the lease at 200 ms
    And "b" holds the lease at 200 ms with fencing number 2

  Scenario: A new holder waits before it sends orders to targets that can't fence them
    Then a holder waits 1327 ms after the grant of a 1000 ms lease with 300 ms orders

  Scenario: No two holders act at the same time by their own clocks
    Then 200 seeded lease schedules have no violation

  Scenario Outline: The lease schedules detect a holder that <defect>
    Then seeded lease schedules detect a holder that <defect>

    Examples:
      | defect                                 |
      | counts validity from the response      |
      | acts on an acquisition without renewal |
      | subtracts neither drift nor margin     |
