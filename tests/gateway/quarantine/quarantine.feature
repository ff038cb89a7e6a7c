@gateway
Feature: A prompt part that crashes engines reaches few of them

  # Guards against gateways that judge each request alone: none remembered what was in the
  # prompts of an engine that ended, so one part ended engine after engine.
  Scenario: A part under which five engines crashed reaches at most three more requests
    Given 6 gateways and 8 engines that crash under one part
    When sound requests arrive for 3 s
    And requests with the part arrive beside sound ones until 9 s after the fifth crash
    Then at most 3 requests with the part reach engines later than 3 s after the fifth crash
    And from 6 s after the fifth crash sound requests begin at least half as often as before
    And the last request with the part was rejected as not executed

  # Guards against a gateway that lets the part through again because it has just started.
  Scenario: A gateway that has just restarted rejects a part quarantined before
    Given 6 gateways and 8 engines that crash under one part
    When requests with the part arrive beside sound ones until it is quarantined
    And "g6" restarts and runs for 3 s
    Then "g6" rejects a request with the part and serves a sound one

  Scenario: Gateways that are all killed at once still reject a quarantined part
    Given 4 gateways and 12 engines that crash under one part
    When requests with the part arrive beside sound ones until it is quarantined
    Then an engine that ran before the first crash is left
    When all gateways are killed 2 s later, and restart
    Then "g1" rejects a request with the part and serves a sound one

  Scenario: A request is not sent to a third engine after two crashes under its part
    Given 4 gateways and 6 engines that crash under one part
    When requests with the part arrive one by one until two engines have crashed
    Then the next request with the part reaches one engine and is not answered completely

  # Guards against a service that stays down after its engines are back: a part that all
  # prompts share was at each crash, and nothing cleared it.
  Scenario Outline: A part of all prompts, <state>, is served once the engines are back after <down> s
    Given 6 gateways and 4 engines without a crashing part
    When <state>, and all engines end within 1.2 s and are back after <down> s
    Then from 3 s after the first engine is back at least 0.99 of the requests begin

    Examples:
      | state                     | down |
      | nothing has run yet       | 5    |
      | requests ran well before  | 8    |
