@gateway
Feature: Number of engines from their measured speed

  # Guards against engines that are ordered for a speed that nobody has measured.
  Scenario: Fewer engines are planned where measurements show that they suffice
    Given 30 engines that take as long as expected, and prompts of which half is cached
    When 330000 tokens a second are requested
    Then 9 to 11 engines are planned instead of 19

  # Guards against a slow engine that counts as a whole one.
  Scenario: Slow engines count as fractions
    Given 30 engines that take as long as expected, and prompts of which half is cached
    When 20 of the engines take 3 times as long, and 330000 tokens a second are requested
    Then 14 to 20 engines are planned instead of 19

  # Guards against service that is lost to a low number of engines.
  Scenario Outline: While <trouble>, more engines are planned
    Given 30 engines that take as long as expected, and prompts of which half is cached
    When <trouble> for 8 s at 330000 tokens a second
    Then at least 18 engines are planned
    When no request is late for 120 s at 330000 tokens a second
    Then at most 12 engines are planned

    Examples:
      | trouble                              |
      | a tenth of the requests is late      |
      | 0.6 s of work waits at the engines   |

  # Guards against engines whose slots are full although their prompts are short.
  Scenario: The slots in use set a lower bound
    Given 30 engines that take as long as expected, and prompts of which half is cached
    When 640 requests run at the engines of 64 slots, and 1000 tokens a second are requested
    Then 20 to 20 engines are planned instead of 1

  # Guards against an order that follows a handful of requests.
  Scenario: Few requests say nothing of the capacity
    Given 30 engines and 9 requests
    Then no capacity is known
