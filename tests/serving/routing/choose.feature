@routing
Feature: Choice of the backend server

  Scenario: A prompt goes where its prefix is, unless the wait outweighs it
    Given 12 idle engines of which "a-1" holds the prefix of 2000 tokens
    Then the prompt goes to "a-1" because its tokens are cached
    When "a-1" is 40 requests over its slots
    Then the prompt goes elsewhere because the wait outweighs its tokens

  Scenario: Many entry hosts don't rush to the engine that looked idle
    Given 20 engines with equal load but "a-1" idle in a late report
    Then of 200 choices by 20 entry hosts at most 60 go to "a-1"

  Scenario: Version, adapter, role, exclusion and plain services are respected
    Given engines of several versions, adapters and roles
    Then each request gets only engines that offer all it needs

  Scenario: An engine whose load reports are stuck at zero loses its work
    Given 4 engines of which "a-1" answers in 3 s but reports no load
    Then of 300 requests at most 25 in 100 go to "a-1"

  Scenario: Work with a near deadline goes to the faster engine
    Given a slow engine that holds the prefix and a fast one that doesn't
    Then a short answer goes to the slow one and a long one to the fast one
    And a medium one goes to the fast one only when its deadline is near

  Scenario: Calls stay in the zone while its backend servers are as free
    Given plain services in two zones
    Then a call goes to its own zone until the wait there is longer

  Scenario: Baselines are kept for comparison
    Given 5 engines with rising load
    Then round robin visits each equally often and least load takes the first

  Scenario: With none able the error says how many there are and why
    Given 3 engines of which one is leaving, one silent and one excluded
    Then choosing fails and names the counts
