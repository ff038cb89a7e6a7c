@gateway
Feature: Orders for rollouts in the state group

  # Guards against orders that are lost, accepted twice, or refused when they are repeated.
  Scenario Outline: An order is <outcome> <when>
    Given an order of v2 in 12 s was accepted and <state>
    When <call> is ordered <when>
    Then it is <outcome>, and the newest order is <newest>

    Examples:
      | state       | call       | when       | outcome           | newest      |
      | active      | v2 in 12 s | 1 s later  | repeated          | v2 number 1 |
      | active      | v2 in 12 s | 90 s later | repeated          | v2 number 1 |
      | active      | v2 in 13 s | 1 s later  | other_in_progress | v2 number 1 |
      | active      | v3 in 12 s | 1 s later  | other_in_progress | v2 number 1 |
      | completed   | v2 in 12 s | 1 s later  | repeated          | v2 number 1 |
      | rolled_back | v2 in 12 s | 4 s later  | repeated          | v2 number 1 |
      | rolled_back | v2 in 12 s | 90 s later | accepted          | v2 number 2 |
      | rolled_back | v3 in 12 s | 1 s later  | accepted          | v3 number 2 |

  # Guards against a repeat of an order that a later one has already replaced.
  Scenario: A late repeat is confirmed while the next order is in progress
    Given an order of v2 in 12 s was accepted and rolled_back
    When v3 in 12 s is ordered 1 s later
    And v2 in 12 s is ordered 1 s later
    Then it is repeated, and the newest order is v3 number 2

  # Guards against a second order after a commit whose response was lost.
  Scenario Outline: A commit without a response that <fate>
    Given the response to the next commit is lost, and it <fate>
    When v2 in 12 s is ordered 0 s later
    Then it is <outcome>, and the newest order is v2 number 1

    Examples:
      | fate               | outcome  |
      | was applied        | repeated |
      | was not applied    | accepted |

  # Guards against confirmations that are not durable, and final refusals that are wrong.
  Scenario Outline: Nothing is accepted <circumstance>
    Given <circumstance>
    When v2 in 12 s is ordered 0 s later
    Then it is <outcome>, and there is no order

    Examples:
      | circumstance                                      | outcome         |
      | no majority answers                               | unavailable     |
      | gateway g3 is not known to support rollouts       | unavailable     |
      | the service is unknown                            | unknown_service |
      | the service is unknown and no majority answers    | unavailable     |

  # Guards against rollouts beside gateways and voters that send requests to all versions.
  Scenario Outline: Hosts without support: <present>, voters <voters>
    Given peers g2 and g3 with members, of which <old> does not know rollouts
    When the hosts without support are listed, with present <present> and voters <voters>
    Then they are <listed>

    Examples:
      | old  | present  | voters   | listed                        |
      | none | g2,g3    | g1,g2,g3 | none                          |
      | g3   | g2,g3    | g1,g2    | g3                            |
      | g3   | g2       | g1,g2,g3 | m-g3                          |
      | none | g2,g4    | g1,g2    | g4                            |
      | none | g2       | g1,g2,g4 | m-g4                          |
      | none | g2       | none     | the voters of the state group |
