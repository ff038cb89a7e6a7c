@gateway
Feature: Broadcasts at a pace that a host's network link carries

  # Guards against bursts whose end a full link drops.
  Scenario Outline: A broadcast to <peers> peers is sent at once or over <batches> batches
    Given a gateway with <peers> recipients
    When it broadcasts 112 bytes and its queue is emptied each 25 ms
    Then each recipient gets them once, over <batches> batches
    And no batch has more than 8200 bytes with its headers

    Examples:
      | peers | batches |
      | 8     | 1       |
      | 50    | 1       |
      | 92    | 3       |
      | 199   | 6       |

  # Guards against a full link that drops the datagrams to the same peers each time.
  Scenario: Broadcasts begin at another recipient each time
    Given a gateway with 199 recipients
    When it broadcasts 112 bytes 8 times, each time with its queue emptied
    Then no recipient is among the last fifth more than 3 times

  Scenario: Urgent datagrams are sent before all others
    Given a gateway with 199 recipients
    When it broadcasts 112 bytes, and urgent ones of 40 bytes just after
    Then all urgent datagrams are sent before the rest of the others
