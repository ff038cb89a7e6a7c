@routing
Feature: Selection of the backend server

  Scenario: A prompt goes to the holder of its prefix unless the wait there is too long
    Given 12 idle engines of which "a-1" holds the prefix of 2000 tokens
    Then the prompt goes to "a-1" because its tokens are cached
    When "a-1" has 40 requests more than slots
    Then the prompt goes to another engine because the wait outweighs the cached tokens

  Scenario: Entry hosts do not all send to an engine that was last reported idle
    Given 20 engines with equal load but "a-1" idle in an outdated report
    Then of 200 choices by 20 entry hosts at most 60 go to "a-1"

  Scenario: Requests go to engines with the required version, adapter and role
    Given engines of several versions, adapters and roles
    Then each request is routed only to engines that meet all its requirements

  Scenario: A slow engine that always reports a load of zero is avoided
    Given 4 engines of which "a-1" responds in 3 s but reports no load
    Then of 300 requests at most 25 in 100 go to "a-1"

  Scenario: A request with a near deadline goes to the faster engine
    Given a slow engine that holds the prefix and a fast one that does not
    Then a short generation goes to the slow engine and a long one to the fast engine
    And a medium generation goes to the fast engine only if its deadline is near

  Scenario: Calls stay in their zone while its backend servers are not more loaded
    Given plain services in two zones
    Then a call goes to its own zone until the wait there is longer

  Scenario: The round-robin and least-load policies serve as baselines
    Given 5 engines with increasing load
    Then round robin chooses each engine equally often and least load the first one

  Scenario: Without an eligible engine the error states the number of engines by cause
    Given 3 engines of which one is leaving, one silent and one excluded
    Then the selection fails and the error states the number of engines by cause
