@serving
Feature: Rollouts of a service to another version

  # Guards against bursts at the target that keep the share on average only.
  Scenario Outline: Of any successive requests at most the share goes to the target
    Given a gateway with a permission for a share of <share>
    Then of any successive requests of 5000 fewer than the share and 2 go to the target
    And over all of them the share is kept within 2 requests
    And of every second request the share goes to the target too, within 0.15 of it

    Examples:
      | share |
      | 0.01  |
      | 0.08  |
      | 0.5   |

  # Guards against gateways that all start with a request to the target, or with none.
  Scenario: Many gateways with few requests each keep the share together
    Given 200 gateways with a permission for a share of 0.05
    Then of 4 requests of each, 40 within 15 go to the target

  # Guards against a gateway that was partitioned or paused and still uses the target.
  Scenario Outline: A permission that is <state>, <age> ms old and valid for 1000 ms
    Then a request with that permission goes to the <side> version

    Examples:
      | state       | age   | side   |
      | active      | 999   | target |
      | active      | 1000  | old    |
      | completed   | 99999 | target |
      | rolled_back | 0     | old    |

  # Guards against requests that are counted twice, or lost at a restart of a gateway.
  Scenario: Reports that are repeated, reordered or of a restarted process
    Then reports of two processes in any order add up to their latest counters

  # Guards against a good version that is taken back, and a bad one that is not.
  Scenario Outline: The test of versions with <usual> of bad responses
    Then of 200 versions with as many bad responses at most <good> is found bad in 2000 responses
    And of 200 versions with <excess> more at least <found> are found bad in 300 responses

    Examples:
      | usual | excess | good | found |
      | 0.0   | 0.2    | 1    | 198   |
      | 0.02  | 0.2    | 1    | 198   |
      | 0.1   | 0.3    | 1    | 198   |

  Scenario: One backend server of a good version that fails is not the version's fault
    Then of 50 versions with one defective backend server of 4 none is found bad

  # Guards against rollouts without an end.
  Scenario: A target that never becomes ready is rolled back before the duration ends
    Given rollouts whose target never becomes ready
    Then each is rolled back in time without a request at the target

  # Guards against gateways that are partitioned for long and go on using the target.
  Scenario: Gateways that are cut off from the holder return to the old versions
    Given rollouts whose gateways are cut off after half of the duration
    Then the target gets no request later than 2500 ms after that

  # Guards against good versions that are taken back or late, and against bad ones that
  # receive more than the bound: with kills, pauses and partitions.
  Scenario Outline: <count> good and bad versions at <gateways> gateways
    Given <count> random rollouts of good and bad versions at <gateways> gateways
    Then at most 1 in 100 good versions is not completed in time
    And no bad version that was found receives more than the bound
    And no bad version is completed after 50 bad responses

    Examples:
      | gateways | count |
      | 9        | 12    |
      | 72       | 6     |
      | 200      | 4     |
