@replay
Feature: The stand-in engine

  Scenario: The model generates each token once and ends each request with its usage
    Given an engine model
    When 40 requests of mixed priorities run to completion
    Then each request got its tokens in order and once
    And each request ended with its usage

  Scenario: A resumed request continues and counts the tokens that it recomputes
    Given an engine model
    When a request of 400 prompt tokens is cancelled after 10 of 20 tokens
    And the request is resumed on another engine without its KV cache
    Then the second engine generates tokens 10 to 19
    And the second engine recomputes 410 tokens

  Scenario: A request that is resumed with its KV cache recomputes at most one token
    Given an engine model
    When a request of 400 prompt tokens is cancelled after 10 of 20 tokens
    And the request is resumed on another engine with its KV cache
    Then the second engine generates tokens 10 to 19
    And the second engine recomputes at most 1 tokens

  Scenario: A shared prefix is computed once, and the prefix cache is bounded
    Given an engine model
    When two requests share a prefix of 512 tokens
    Then the second request has 512 cached tokens
    And the cached blocks of 50 other prompts never exceed the KV cache capacity

  Scenario: An urgent request preempts a low request
    Given an engine model with 1 slot
    When an urgent request arrives while a low request runs
    Then the urgent request ends first
    And the low request ends with all its tokens

  Scenario: Cache events are delayed and lost, and the load report lags
    Given an engine model that loses a third of its cache events
    When 30 prompts are computed
    Then no cache event is announced before its delay
    And the announced sequences have gaps and increase
    And the load report is no older than its lag

  Scenario: Orders with a stale fencing number
    Given an engine model
    Then an engine that checks fencing numbers refuses a stale order
    And an engine that ignores fencing numbers executes a stale order
    And an order sent twice is executed once

  Scenario: The stream of a killed engine is resumed on another engine over HTTP
    Given two engines over HTTP that announce to a listener
    When the first engine is killed in the middle of a stream
    And the remaining tokens are fetched from the second engine with its KV cache
    Then both parts together are the expected text
    And both engines were announced, the second engine last as leaving

  Scenario Outline: An engine injects a fault
    Given an engine over HTTP that injects the fault "<fault>"
    Then a stream of 8 tokens ends with "<result>"

    Examples:
      | fault                 | result           |
      | die_before_first_byte | no response      |
      | die_mid_answer        | broken stream    |
      | refuse                | status 503       |
      | wrong_request_id      | wrong request id |
