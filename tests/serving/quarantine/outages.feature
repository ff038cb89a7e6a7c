@serving
Feature: Engines that end for a reason of their own leave no part rejected

  # Guards against a service that stays down after its engines are back, because a part
  # that nearly all requests share was at each crash.
  Scenario Outline: <count> gateways, <ended> of <engines> engines end, <circumstance>
    Given <count> gateways with <engines> engines, of which <ended> end within <within> s, <circumstance>
    Then in each of <seeds> runs, from 3 s after the first engine is back, nothing sound is rejected

    Examples: all engines, one gateway
      | count | engines | ended | within | circumstance                      | seeds |
      | 1     | 4       | 4     | 1.2    | back after 5 s                    | 5     |
      | 1     | 4       | 4     | 1.2    | back after 12 s                   | 5     |
      | 1     | 4       | 4     | 1.2    | back after 30 s                   | 5     |
      | 1     | 4       | 4     | 1.2    | new, back after 5 s               | 5     |
      | 1     | 4       | 4     | 1.2    | new, back after 12 s              | 5     |
      | 1     | 4       | 4     | 1.2    | new, back after 30 s              | 5     |
      | 1     | 4       | 4     | 1.2    | two parts, back after 12 s        | 5     |
      | 1     | 4       | 4     | 1.2    | new, two parts, back after 12 s   | 5     |
      | 1     | 8       | 8     | 0.8    | back after 12 s                   | 5     |
      | 1     | 3       | 3     | 3.0    | new, back after 20 s              | 5     |

    Examples: all engines, several gateways
      | count | engines | ended | within | circumstance                      | seeds |
      | 9     | 4       | 4     | 1.2    | back after 5 s                    | 5     |
      | 9     | 4       | 4     | 1.2    | back after 12 s                   | 5     |
      | 9     | 4       | 4     | 1.2    | new, back after 12 s              | 5     |
      | 9     | 4       | 4     | 1.2    | new, two parts, back after 5 s    | 5     |
      | 9     | 8       | 8     | 0.8    | back after 12 s                   | 5     |
      | 9     | 3       | 3     | 3.0    | new, back after 20 s              | 5     |
      | 9     | 4       | 4     | 1.2    | lossy, back after 12 s            | 5     |
      | 9     | 4       | 4     | 1.2    | restarts, back after 12 s         | 5     |
      | 93    | 4       | 4     | 1.2    | back after 12 s                   | 1     |
      | 93    | 4       | 4     | 1.2    | new, back after 5 s               | 1     |

    Examples: some engines
      | count | engines | ended | within | circumstance                      | seeds |
      | 1     | 8       | 5     | 2.0    | back after 12 s                   | 5     |
      | 9     | 8       | 5     | 2.0    | new, back after 12 s              | 5     |

    Examples: crash loops
      | count | engines | ended | within | circumstance                      | seeds |
      | 1     | 4       | 4     | 1.2    | three rounds, back after 5 s      | 5     |
      | 9     | 4       | 4     | 1.2    | three rounds, back after 5 s      | 5     |
      | 9     | 4       | 4     | 1.2    | new, three rounds, back after 5 s | 5     |

  Scenario Outline: Beside a part that crashes engines the others come back, <count> gateways
    Given <count> gateways with 8 engines, of which 8 end within 0.8 s, bad part, back after 12 s
    Then in each of 5 runs at most 3 requests with the part reach engines later than 3 s after the fifth crash
    And at most 0.01 of the sound requests are rejected later than 3 s after the first engine is back

    Examples:
      | count |
      | 1     |
      | 9     |
