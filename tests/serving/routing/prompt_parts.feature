@gateway
Feature: Selection of an engine for a prompt made of named parts

  Scenario: All gateways send prompts with one shared part to the same engine
    Given 5 engines and 9 gateways without knowledge of each other
    When 20 prompts with one shared part arrive at different gateways
    Then all go to one engine

  Scenario: Different parts are distributed over the engines
    Given 5 engines and 9 gateways without knowledge of each other
    When prompts with 200 different shared parts arrive
    Then each engine gets 20 to 60 of them

  Scenario: A frequent part is sent to other engines while its engine is full
    Given 5 engines and 9 gateways without knowledge of each other
    When 40 prompts with one shared part arrive at once and the load is known
    Then at least 3 engines get some of them

  Scenario: An engine without free KV cache capacity is avoided
    Given 2 engines, the near one without free KV cache capacity for the prompt
    Then the other one is chosen

  Scenario: An engine that is warming up is avoided while others are free
    Given 2 engines, the near one with 3 s of warm-up left
    Then the other one is chosen

  Scenario: A choice among 50 engines takes less than 300 us
    Then the median time of a choice among 50 engines is less than 300 us
