@requests
Feature: Requests through real entry hosts and stand-ins

  Scenario Outline: Whatever a service host does, purchases run at most once and are told truthfully
    Given 2 entry hosts
    And 2 seat services of which 30% of purchases meet "<fault>"
    When 40 purchases are sent and each key is sent again to the other host
    Then no reply is false and at least <answered> keys were answered

    Examples:
      | fault                 | answered |
      | die_before_first_byte | 12       |
      | die_after_execution   | 40       |
      | answer_late           | 40       |
      | answer_twice          | 40       |

  Scenario: A key sent at once to three entry hosts runs once
    Given 3 entry hosts
    And 2 seat services
    When 20 keys are each sent to all entry hosts at once
    Then no reply is false and at least 20 keys were answered
    And every reply was an answer or "still running" with a time to come back

  Scenario: A killed entry host's purchases are settled and its drafts run again
    Given 3 entry hosts
    And 2 seat services that take 300 ms for a purchase
    And 2 engines
    When 20 purchases and 5 patient drafts are running on the first host and it dies
    Then each purchase is settled on another host, none executed twice
    And each patient draft is collected whole from another host
    And purchases that ran and were not answered have their answer

  Scenario: Drafting at three times capacity does not reach purchases
    Given 1 entry host with 32 threads
    And 1 engine with 4 slots
    And 1 seat service
    When 40 callers ask for drafts while 60 purchases come one after the other
    Then all 60 purchases were answered
    And some drafts were refused as not run with a time to come back

  Scenario: A client account over its limit is refused with a time to come back
    Given 1 entry host whose client account may send 5 requests per second
    And 1 seat service
    When 60 lookups are sent at once
    Then 5 to 12 were answered and the others got 429 and a time to come back

  Scenario: Refusals have problem bodies
    Given 1 entry host
    And 1 seat service
    Then these requests are refused
      | method | path                      | account | key | body | status | step         |
      | POST   | /services/seats/purchases | nobody  | k   | x    | 401    | authenticate |
      | POST   | /services/seats/purchases | ushers  |     | x    | 400    | receive      |
      | POST   | /services/drafts/x        | ushers  | k   | x    | 404    | receive      |
      | GET    | /services/seats/other     | ushers  |     |      | 404    | receive      |
      | POST   | /v1/completions           | ushers  |     | {    | 400    | receive      |
      | GET    | /requests/none            | ushers  |     |      | 404    | collect      |
    And a key used for another purchase is refused with 422

  Scenario: Malformed, oversized, dripping and half-closed requests do no harm
    Given 1 entry host
    And 1 seat service
    Then 150 malformed requests get an error or nothing
    And an oversized body and oversized headers are refused
    And dripping and half-closed requests hold up no other
    And a lookup is answered

  Scenario: Callers who read nothing are dropped, and their threads go on
    Given a listener with 2 threads whose answers are 40 MB
    When 2 callers read nothing
    Then both are dropped after 31 seconds, not after 29
    And a caller who reads gets its answer whole
