@gateway
Feature: Room for decoding in each turn of the event loop

  # Guards against turns in which the bodies of all connections are decoded.
  Scenario: Bodies in tiny chunks share the room of each turn
    Given 40 bodies of 4 pieces in chunks of 1 byte
    When they are decoded at the same time
    Then no turn decodes more than 1000 chunks and one piece
    And no body is ahead of another one by more than two pieces

  # Guards against honest callers whose bodies wait behind those that cost more than
  # their worth.
  Scenario: Bodies in usual chunks do not wait for those in tiny chunks
    Given 40 bodies of 4 pieces in chunks of 1 byte
    And 1 body of 10 pieces in chunks of 40 bytes
    When they are decoded at the same time
    Then the last body is decoded within 12 turns

  # Guards against room that is kept for connections that are closed.
  Scenario: Bodies whose callers have left take no room
    Given 40 bodies of 4 pieces in chunks of 1 byte
    When all but the last are cancelled while they wait
    Then the last body is decoded within 12 turns

  # Guards against ordinary callers without an answer (review/8).
  Scenario Outline: Turns stay short while callers send bodies in chunks of <chunk> bytes
    Given a server
    When 200 callers send bodies in chunks of <chunk> bytes
    Then ordinary requests are answered within 1 s
    And no turn takes longer than 50 ms

    Examples:
      | chunk |
      | 1     |
      | 16    |
      | 200   |
