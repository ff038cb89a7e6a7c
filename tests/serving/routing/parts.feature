@gateway
Feature: Which engine gets a prompt made of named parts

  Scenario: All gateways send one part to one engine, and it is read once
    Given 5 engines and 9 gateways that know nothing of each other
    When 20 prompts with one shared part come to different gateways
    Then all go to one engine

  Scenario: Parts are spread over the engines
    Given 5 engines and 9 gateways that know nothing of each other
    When prompts with 200 different shared parts come
    Then each engine gets 20 to 60 of them

  Scenario: A hot part spills over while its engine is full
    Given 5 engines and 9 gateways that know nothing of each other
    When 40 prompts with one shared part come at once and all see the load
    Then at least 3 engines get some

  Scenario: An engine without room is left for one with room
    Given 2 engines, the near one without room for the prompt
    Then the other one is chosen

  Scenario: An engine that warms up is left alone while others are free
    Given 2 engines, the near one with 3 s of warm-up left
    Then the other one is chosen

  Scenario: A choice among 50 engines takes less than 300 us
    Then a choice among 50 engines takes less than 300 us in the middle
