@gateway
Feature: A gateway that is told to stop answers every request that it has read

  # Guards against requests that wait or run when their gateway ends, and get no answer.
  Scenario Outline: Requests <where> when their gateway is told to stop
    Given 4 gateways and 2 engines with <slots> slots, whose requests take <work_s> s
    When a gateway is told to stop while 24 requests are <where>
    Then it ends within its grace period
    And each of the requests got a whole answer
    And no purchase ran twice, and none that was refused with 503 ran
    And at least <served> of them were served

    Examples:
      | where                      | slots | work_s | served |
      | waiting for a slot         | 2     | 2      | 4      |
      | running                    | 12    | 3      | 24     |
      | running longer than that   | 12    | 11     | 0      |
      | waiting for a pause to end | 12    | 1      | 0      |
      | running behind a peer      | 12    | 3      | 24     |
      | at a peer for too long     | 12    | 11     | 0      |

  # Guards against requests that are sent on late and cut at the end of the grace period.
  Scenario Outline: Requests that arrive while a gateway stops, and take <work_s> s
    Given 4 gateways and 2 engines with 12 slots, whose requests take <work_s> s
    And the gateways have seen how long requests take
    When 24 requests arrive during the first 2.8 s after a gateway was told to stop
    Then each of the requests got a whole answer
    And no purchase ran twice, and none that was refused with 503 ran
    And each purchase that ran was served
    And the others were refused within 0.5 s, with a time to come back
    And at least <served> of them were served

    Examples:
      | work_s | served |
      | 0.5    | 24     |
      | 3.5    | 0      |
      | 6      | 0      |

  # Guards against a request that a peer refuses because it stops, though others serve.
  Scenario: A gateway without paths forwards to other peers when one is told to stop
    Given 4 gateways and 2 engines with 12 slots, whose requests take 0.3 s
    When a peer is told to stop while a gateway without paths gets 60 requests
    Then at least 60 of them were served

  # Guards against a half-read request that is cut when the listener closes.
  Scenario Outline: Requests that have half arrived when the listener closes, the rest <rest>
    Given 4 gateways and 2 engines with 12 slots, whose requests take 0.3 s
    And the gateways have seen how long requests take
    When half of 24 requests' bodies arrives as a gateway is told to stop, the rest <rest>
    Then it ends within its grace period
    And each of the requests got a whole answer
    And no purchase ran twice, and none that was refused with 503 ran
    And at least <served> of them were served

    Examples:
      | rest         | served |
      | within 3.5 s | 24     |
      | never        | 0      |

  # Guards against an operator's call that a stopping gateway has read and never answers.
  Scenario: A configuration is being stored when its gateway ends
    Given 4 gateways and 2 engines with 12 slots, whose requests take 0.3 s
    When a gateway is told to stop while it stores a configuration
    Then it ends within its grace period
    And the operator is told to ask another gateway

  # Guards against streams that the end of the grace period cuts, and that nothing excuses.
  Scenario Outline: A stream of <longest_s> s that a stopping gateway reads <after_s> s after its signal
    When a resumable stream is read <after_s> s after the signal, <left_s> s before the end
    Then it is <decision>

    Examples:
      | longest_s | after_s | left_s | decision  |
      | 10        | 1       | 6.6    | passed on |
      | 10        | 3.5     | 4.1    | refused   |
      | 2         | 3.5     | 4.1    | passed on |
