@replay
Feature: The stand-in engine

  Scenario: The model generates each token once and ends with its usage
    Given an engine model
    When 40 requests with mixed priorities run to the end
    Then each got its tokens in order, each once
    And all ended with their usage

  Scenario: A resumed request goes on and counts what it computed again
    Given an engine model
    When a request of 400 prompt tokens is cancelled after 10 of 20 tokens
    And it is resumed on another engine without its KV cache
    Then the second engine generates tokens 10 to 19
    And it recomputes 410 tokens

  Scenario: An imported KV cache saves the computing
    Given an engine model
    When a request of 400 prompt tokens is cancelled after 10 of 20 tokens
    And it is resumed on another engine with its KV cache
    Then the second engine generates tokens 10 to 19
    And it recomputes at most 1 tokens

  Scenario: A cached prefix is computed once, and memory is limited
    Given an engine model
    When two requests share a prefix of 512 tokens
    Then the second has 512 cached tokens
    And cached blocks never exceed the memory when 50 other prompts follow

  Scenario: An urgent request takes the slot of a low one
    Given an engine model with 1 slot
    When an urgent request comes while a low one runs
    Then the urgent one ends first
    And the low one ends with all its tokens

  Scenario: Cache events are late and lossy, load lags
    Given an engine model that loses a third of its cache events
    When 30 prompts are computed
    Then no cache event is announced before its delay
    And the announced sequences have gaps and only grow
    And the load is as old as its lag allows

  Scenario: Orders with a stale fencing number
    Given an engine model
    Then a stale order is refused by an engine that checks
    And a stale order is carried out by an engine that does not
    And an order sent twice is carried out once

  Scenario: Over HTTP a killed engine's stream is resumed elsewhere
    Given two engines over HTTP that announce to a listener
    When a stream is cut by the death of the first engine
    And the rest is fetched from the second engine with its KV cache
    Then both parts together are the expected text
    And the listener saw both engines and the leaving of the second

  Scenario Outline: Planned faults of an engine
    Given an engine over HTTP with the fault "<fault>"
    Then a stream of 8 tokens shows "<sign>"

    Examples:
      | fault                 | sign          |
      | die_before_first_byte | no answer     |
      | die_mid_answer        | cut stream    |
      | refuse                | status 503    |
      | wrong_request_id      | wrong id      |
