@state
Feature: Limits of a client account hold across all entry hosts

  Scenario: Shares follow demand
    Given 10 hosts share 100 requests/s, 100 concurrent requests and 10000 tokens/s
    When all requests go to host 0 for 10 s
    Then the share of host 0 is at least 52 requests/s
    When all requests go to host 7 for 10 s
    Then the share of host 7 is at least 52 requests/s
    And the share of host 0 is at most 10 requests/s

  Scenario: An isolated host falls back to its safe share and recovers later
    Given 10 hosts share 100 requests/s, 100 concurrent requests and 10000 tokens/s
    When all requests go to host 0 for 10 s
    And host 0 is isolated for 6 s
    Then the share of host 0 is exactly 5 requests/s
    And host 0 shows that it has no valid grant and refuses requests over its share
    When all requests go to host 0 for 10 s
    Then the share of host 0 is at least 52 requests/s

  Scenario: The shares stay when another process takes over as allocator
    Given 10 hosts with grants of the default duration
    When all requests go to host 0 for 25 s
    And the allocator is unreachable for 7 s and another allocator takes over
    Then the share of host 0 stays at least 52 requests/s for 30 s

  Scenario: The shares of all hosts add up to at most the limit at any time
    Then 60 seeded schedules of 6 hosts stay within the limits

  Scenario: Only bursts and running requests of isolated hosts exceed the limit
    Then 10 seeded schedules admit at most the limit plus bursts in any 5 s
    And isolated hosts add at most their running requests to the concurrent requests

  Scenario: A limit below the number of hosts is exceeded by at most the difference
    Then 10 hosts with a limit of 4 may run at most 10 requests, and 40 with 40

  Scenario Outline: The schedules detect <defect>
    Then seeded schedules detect <defect>

    Examples:
      | defect                                            |
      | an allocator that forgets what hosts hold         |
      | an allocator that grants before old grants expire |
      | a host that uses its grant after it expired       |

  Scenario: Fair shares add up to the pool and satisfy smaller demands first
    Then the shares of random demands add up to the pool and are max-min fair

  Scenario: Hosts report over gRPC to the process that holds the lease
    Given two allocators over gRPC, one of which holds the lease
    When a host reports to the allocator without the lease
    Then the host has its safe share of 5 requests/s
    When the host reports to the lease holder until earlier grants have expired
    Then the host has a share of more than 50 requests/s
    And a host of another cluster gets no grant
