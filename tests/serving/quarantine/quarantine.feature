@serving
Feature: Quarantine of prompt parts that crash engines

  Scenario Outline: A part that never ran well is quarantined after its third crash
    Given requests with parts "f0,m1,bad0" crashed engines at <crashes> s
    And requests with parts "f0,m1" ran well at 0.1 s
    Then at <at> s the quarantined parts are "<parts>"

    Examples:
      | crashes         | at  | parts |
      | 1,1.5           | 9.0 |       |
      | 1,1.5,2         | 2.9 |       |
      | 1,1.5,2         | 3.0 | bad0  |
      | 1,1.5,2,2.4     | 3.0 | bad0  |
      | 1,1.5,2,2.4,2.6 | 9.0 | bad0  |

  Scenario: A part that ran well before needs four crashes
    Given requests with parts "f0,bad0" ran well at 0.1 s
    And requests with parts "f0,bad0" crashed engines at 1,1.5,2 s
    And requests with parts "f0" ran well at 2.5 s
    Then at 9.0 s the quarantined parts are ""
    Given requests with parts "f0,bad0" crashed engines at 9 s
    Then at 10.0 s the quarantined parts are "bad0"

  # Guards against the quarantine of a whole route after a host or rack is lost.
  Scenario: Engines that are lost at the same moment count as one crash
    Given requests with parts "f0,m1" crashed engines at 1,1.01,1.02,1.03,1.04 s
    Then at 9.0 s the quarantined parts are ""

  Scenario: Of two parts with the same crashes the deeper one is quarantined after five
    Given requests with parts "m1,bad0" crashed engines at 1,2,3,4 s
    Then at 9.0 s the quarantined parts are ""
    Given requests with parts "m1,bad0" crashed engines at 10 s
    Then at 11.0 s the quarantined parts are "bad0"

  Scenario: A quarantine ends when a request with the part runs well
    Given requests with parts "f0,m1" ran well at 0.1 s
    And requests with parts "f0,bad0" crashed engines at 1,2,3 s
    Then at 4.0 s the quarantined parts are "bad0"
    Given requests with parts "f0,bad0" ran well at 5.0 s
    Then at 5.0 s the quarantined parts are ""

  # Guards against a part that stays rejected because no request can clear it.
  Scenario: A quarantined part that ran well before is tried soon, then after long pauses
    Given requests with parts "m1" ran well at 0.1 s
    And requests with parts "m1" crashed engines at 1,2,3,4 s
    Then at 5.0 s the quarantined parts are "m1"
    And at 6,10,130,370 s until 600 s part "m1" is tried, if each trial crashes

  Scenario: A quarantined part that never ran well is tried as well
    Given requests with parts "f0,m1" ran well at 0.1 s
    And requests with parts "f0,bad0" crashed engines at 1,2,3 s
    Then at 4.0 s the quarantined parts are "bad0"
    And at 5,9,129,369 s until 600 s part "bad0" is tried, if each trial crashes

  Scenario: A part is tried later while engines run that did not crash
    Given requests with parts "f0,m1" ran well at 0.1 s
    And requests with parts "f0,bad0" crashed engines at 1,2,3 s
    Then at 4.0 s the quarantined parts are "bad0"
    And beside an engine that did not crash part "bad0" is tried at 13,33,153,393 s until 600 s, if each trial crashes

  Scenario: A trial that reaches no engine does not count
    Given requests with parts "m1" crashed engines at 1,2,3 s
    Then at 4.0 s the quarantined parts are "m1"
    And at 5,7,9,11 s until 12 s part "m1" is let through, if no request reaches an engine

  Scenario: A trial waits for a prompt without another suspect
    Given requests with parts "m1" ran well at 0.1 s
    And requests with parts "m1" crashed engines at 1,2 s
    And requests with parts "bad0" crashed engines at 3,4,5 s
    Then at 6.0 s the quarantined parts are "bad0"
    And a request with parts "m1,bad0" is let through at 9 s, but not at 7 or 8.9 s

  Scenario: A quarantine ends some time after the last crash
    Given requests with parts "f0,m1" ran well at 0.1 s
    And requests with parts "f0,bad0" crashed engines at 1,2,3 s
    Then at 602 s the quarantined parts are "bad0"
    And at 603 s the quarantined parts are ""

  Scenario: The evidence with the oldest crash is dropped when there is no room
    Given 2000 requests with a part of their own, each at an engine that crashed
    Then the evidence covers 512 parts, the last of them included

  Scenario: Gateways that receive the same evidence in another order agree
    Then random evidence merged in any order, also repeated, gives the same quarantine

  # Guards against gateways that judge each request alone, at any number of gateways.
  Scenario Outline: <count> gateways <circumstance> stop a part that crashes engines
    Given <count> gateways <circumstance> and requests with the part
    Then in each of <seeds> runs at most 3 of them reach engines later than 3 s after the fifth crash
    And at least half of the sound requests are served from 6 s after it
    And no other part is ever quarantined

    Examples: few gateways
      | count | circumstance                        | seeds |
      | 9     | in calm                             | 3     |
      | 9     | that lose datagrams                 | 3     |
      | 9     | of which one restarts each second   | 3     |
      | 9     | asked often                         | 3     |
      | 9     | asked rarely                        | 2     |
      | 9     | which know the part from good runs  | 3     |
      | 9     | with few sound requests             | 3     |
      | 9     | that have just started              | 3     |
      | 9     | with two such parts                 | 3     |

    Examples: many gateways
      | count | circumstance                        | seeds |
      | 93    | in calm                             | 1     |
      | 93    | of which one restarts each second   | 1     |

  Scenario: No part is quarantined when many engines are lost together
    Given 9 gateways with busy engines, of which most are lost at the same moment
    Then no part is quarantined in 10 runs
