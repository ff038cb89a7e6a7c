@gateway
Feature: Admission by a price of engine time that gateways share

  Scenario Outline: With too few engines, urgent requests are served and work is not wasted
    # Guards against prices that oscillate, that differ between gateways or that let large
    # urgent requests pay for small ones that are less urgent.
    Given <gateways> gateways, <capacity> of the engines needed and a load of 40 s
    When the gateways share a price
    Then the value of requests in time is at least <least> of a planner's
    And it is more than the present rule reaches
    And more of the answers than of the rosters, and of these than of the hints, are in time
    And at least <answers> of the answers are in time
    And less than 0.02 of the engine time is for callers who have left
    And the refused shares of the gateways differ by less than 0.1

    # At 0.6, the burst of answers alone asks for more than all engines for 4 s of the 40.
    Examples:
      | gateways | capacity | least | answers |
      | 9        | 0.6      | 0.8   | 0.85    |
      | 9        | 0.8      | 0.8   | 0.93    |
      | 9        | 1.0      | 0.85  | 0.95    |
      | 30       | 0.8      | 0.8   | 0.93    |

  Scenario: An account beyond its share does not crowd out the others of its priority
    # Guards against shares by arrival, which give most to who asks most.
    Given 9 gateways, 0.8 of the engines needed and a load of 40 s
    When the gateways share a price
    Then accounts at their usual rate have more rosters in time than the excessive one

  Scenario: The level does not swing between all and nothing
    # Guards against a price without damping: then the admitted work of half seconds
    # varies by more than half of its mean.
    Given 9 gateways, 0.8 of the engines needed and a load of 40 s
    When the gateways share a price
    Then the admitted work of half seconds varies by less than 0.35 of its mean

  Scenario: A gateway cut off from its peers admits its part of the capacity
    # Guards against a gateway that refuses, or admits, everything on its own.
    Given a price at a gateway of 10, 9 of which it does not hear from
    When its callers ask for 3 engine seconds a second at priority 1, of 20 engines
    Then it serves between 0.5 and 0.9 of them

  Scenario: Reports older than digests can be are ignored
    # Guards against a gateway that trusts a digest 10 s old.
    Given a price at a gateway of 2, whose peer reported 100 engine seconds a second
    Then 10 s later it serves all of a demand that fits, and a report 10 s old is dropped

  Scenario: Requests are refused only for one of three reasons, with a bounded delay
    # Guards against refusals while nothing waits, and retries that come too early or late.
    Then for any request the decision and its retry delay are within bounds
    And of two requests refused at the same time the less urgent one is told to wait longer

  Scenario: What was started is not refused
    # Guards against engine time that was spent in vain.
    Then a resumed stream is sent at any price

  Scenario: A request that can't be served before its caller leaves is refused at once
    # Guards against work for callers who have left.
    Then a request with a backlog beyond its caller's time is refused as unservable
