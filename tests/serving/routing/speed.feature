@routing
Feature: Engines of one service that differ in speed

  # Guards against a momentary slowdown that is learned as a lasting one.
  Scenario: The reported momentary time is divided out of what is learned
    Given an engine that always takes as long as expected times its reported percentage
    When it serves 40 requests while its reports alternate between 100 and 250
    Then its learned factor is within 0.05 of 1

  # Guards against expected times whose common error makes all engines look slow.
  Scenario: Lasting factors are relative to the other engines of the service
    Given 4 engines that take 1.1, 2.4, 2.4 and 2.4 times as long as expected
    When each serves 40 requests
    Then the factor of the first is less than half of that of each other
    And the geometric mean of the factors is within 0.05 of 1

  # Guards against an old report that is taken for the present state.
  Scenario Outline: A report loses its value with its age
    Given an engine whose reports alternate between 100 and 250 each <period> s
    When it last reported 250 at <age> s ago
    Then its momentary factor is between <low> and <high>

    Examples:
      | period | age | low  | high |
      | 0.6    | 0.0 | 2.2  | 2.5  |
      | 0.6    | 0.3 | 1.7  | 2.35 |
      | 0.6    | 3.0 | 1.0  | 1.9  |
      | 0.6    | 60  | 1.0  | 1.9  |
      | 3.0    | 0.3 | 2.2  | 2.5  |

  # Guards against the speed of a process that has ended.
  Scenario: Another start of an engine begins without measurements
    Given a gateway that learned that "i-00000000" takes 3 times as long
    When "i-00000000" starts again
    Then the factor of "i-00000000" is 1

  # Guards against a herd: all gateways have the same reports.
  Scenario: Gateways with the same reports do not all choose the same engine
    Given 86 gateways that know of 12 engines that "i-00000003" is the fastest
    Then at most half of the gateways choose "i-00000003" for a plain request
    And "i-00000003" is chosen more often than any other

  # Guards against gateways that all add the same ones of engines that hold a part.
  Scenario: Gateways spread prompts whose shared part all engines hold
    Given 86 gateways that know 30 engines, which all hold the shared part of a prompt
    Then at most 9 of the gateways choose the same engine for the prompt

  # Guards against a changed selection for engines that report three figures.
  Scenario: Without a fourth figure, the selection is that of earlier releases
    Given a gateway whose 12 engines report three figures
    Then it chooses the least loaded one, and keeps no speeds

  # Guards against a slow engine that gets each prompt whose first part it holds.
  Scenario Outline: A cached part is weighed against a slow engine
    Given 2 engines, of which "i-00000000" holds <tokens> tokens and takes <factor> times as long
    Then a prompt of 6000 tokens goes to "<chosen>"

    Examples:
      | tokens | factor | chosen     |
      | 5000   | 1.0    | i-00000000 |
      | 5000   | 1.5    | i-00000000 |
      | 1000   | 3.0    | i-00000001 |

  # Guards against a choice that takes too much of a gateway's processor.
  Scenario Outline: A choice among <engines> engines takes at most 300 us for a <kind>
    Given a gateway among 86 that knows the speeds of <engines> engines
    Then a choice for a <kind> request takes at most 300 us

    Examples:
      | engines | kind       |
      | 117     | plain      |
      | 117     | generation |
      | 60      | generation |
      | 30      | plain      |
      | 30      | generation |

  # Guards against a policy that gains at one size of the deployment and loses at another.
  Scenario Outline: <gateways> gateways with reports <age> ms old
    When <gateways> gateways with reports <age> ms old choose among 20 engines
    Then choosing by both factors is at least as fast as least load, two choices and round robin

    Examples:
      | gateways | age  |
      | 9        | 0    |
      | 86       | 250  |
