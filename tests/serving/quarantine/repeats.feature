@serving
Feature: Quarantine of requests that crash backend servers and come again

  Scenario Outline: A request is suspected after two crashes and quarantined after three
    Given request "a" crashed backend servers at <crashes> s
    Then request "a" is <state>

    Examples:
      | crashes | state                      |
      | 1       | neither                    |
      | 1,2     | suspected                  |
      | 1,2,3   | suspected and quarantined  |
      | 1,1,1   | suspected and quarantined  |

  Scenario: A good run clears the crashes before it
    Given request "a" crashed backend servers at 1,2 s
    And request "a" ran well at 3 s
    And request "a" crashed backend servers at 4,5 s
    Then request "a" is suspected
    Given request "a" crashed backend servers at 6 s
    Then request "a" is suspected and quarantined
    Given request "a" ran well at 7 s
    Then request "a" is neither

  # Guards against an innocent request that is rejected without end.
  Scenario Outline: <cause> gets trials of request "a" at <trials> s, each of which crashes
    Given request "a" crashed backend servers at 1,2,3 s
    And request "b" crashed backend servers at <beside> s
    Then at <trials> s until 700 s request "a" is tried, if each trial crashes

    Examples:
      | cause                | beside  | trials           |
      | no crash beside it   | none    | 63,123,243,483   |
      | a rival              | 1,2,3   | 5,65,185,425 |
      | one crash beside it  | 1.5     | 63,123,243,483   |
      | two crashes beside it | 1.5,2.5 | 5,65,185,425 |

  # Guards against a trial that ends two engines: the crashes of a quarantined request were
  # explained by another one at the same crashes, so its broken trial was sent once more.
  Scenario: A quarantined request is suspected although another one explains its crashes
    Given request "a" crashed backend servers at 1,2,3 s
    And request "b" crashed backend servers at 1,2,3 s
    Then request "a" is suspected and quarantined
    And request "b" is suspected and quarantined

  # Guards against a sound request that comes again and stays rejected beside the cause.
  Scenario: A trial that crashes alone releases the requests beside it
    Given request "a" crashed backend servers at 1,2,3 s
    And request "b" crashed backend servers at 1,2,3 s
    And a trial of request "a" crashed a backend server at 5 s
    Then request "a" is suspected and quarantined
    And request "b" is neither
    Given request "b" crashed backend servers at 7 s
    Then request "b" is suspected and quarantined

  Scenario: A trial that crashes beside another suspect releases neither
    Given request "a" crashed backend servers at 1,2,3 s
    And request "b" crashed backend servers at 1,2,3 s
    And a trial of request "a" crashed a backend server at 5 s
    And a trial of request "b" crashed a backend server at 5 s
    Then request "a" is suspected and quarantined
    And request "b" is suspected and quarantined

  # Guards against a trial of a sound request that ends with the trial of the cause.
  Scenario: Trials of two requests do not overlap
    Given request "a" crashed backend servers at 1,2,3 s
    And request "b" crashed backend servers at 1,2,3 s
    Then at 5 s the next attempt of request "a" is let through
    And none of request "b" is let through before 5.5 s

  Scenario: Evidence against many requests is bounded, and those at most crashes are kept
    Given request "a" crashed backend servers at 1,2,3 s
    And 5000 requests, each at a crash of its own
    Then the evidence covers at most 1024 requests, "a" included

  Scenario: Gateways that receive the same evidence in another order agree
    Then random evidence against requests merged in any order gives the same quarantine

  Scenario: A quarantined request is suspected instead of a part of its prompt
    Given part "p" of request "a" was at crashes at 1,2,3,4 s
    Then request "a" explains all crashes of its part at 9 s

  # Guards against gateways that judge each attempt alone, at any number of gateways.
  Scenario Outline: <count> gateways <circumstance> stop a request that comes again
    Given a request that crashes engines behind <count> gateways <circumstance>
    Then in each of <seeds> runs it reaches engines at most 3 times later than 3 s after the third crash
    And at most <rejected> of the sound polls are rejected from 8 s after the third crash

    Examples: few gateways
      | count | circumstance                      | seeds | rejected |
      | 9     | in calm                           | 10    | 0.01     |
      | 9     | with two engines                  | 10    | 0.01     |
      | 9     | with one engine                   | 10    | 0.01     |
      | 9     | that lose datagrams               | 10    | 0.01     |
      | 9     | of which one restarts each second | 10    | 0.01     |
      | 9     | asked often                       | 10    | 0.01     |
      | 9     | asked rarely                      | 5     | 0.01     |
      | 9     | with two such requests            | 10    | 0.01     |
      | 9     | with crashes of other causes      | 10    | 0.1      |

    Examples: many gateways
      | count | circumstance                      | seeds | rejected |
      | 93    | in calm                           | 2     | 0.01     |
      | 93    | of which one restarts each second | 2     | 0.01     |
