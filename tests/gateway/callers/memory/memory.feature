@gateway
Feature: Memory that requests hold

  # Guards against reservations that outlive their request, which add up until the
  # gateway refuses everybody.
  Scenario Outline: The memory of callers that <what> is free again
    Given a server with 1 MiB for requests
    When callers <what>
    Then nothing is held

    Examples:
      | what                             |
      | disconnect within the body       |
      | disconnect while memory is short |
      | disconnect while they are served |
      | exceed the limit                 |
      | get a response                   |

  # Guards against a server that resets the connection of a caller that is still sending.
  Scenario: A caller that sends far too much can read the refusal
    Given a server with 1 MiB for requests
    When a caller sends 16 times the limit before it reads
    Then it reads status 413

  # Guards against large bodies that lock out small requests and control calls.
  Scenario: Small requests and control calls have a reserve
    Given a budget of which large bodies of callers hold all that they may
    Then a large body has to wait
    And a small request and a control call may go on

  # Guards against the refusal of callers that progress while others only hold memory.
  Scenario: The transfer that holds most and progresses least is refused
    Given a budget that is used up, and a transfer that waits
    When a second passes in which all but the largest progress
    Then the largest is refused

  # Guards against a decoder that depends on how the bytes are cut into pieces.
  Scenario: Chunked bodies are decoded however they arrive
    Given chunked bodies with chunks of 1 to 300 bytes, extensions and trailers
    Then each is decoded from pieces of 1 to 400 bytes, and what follows is left
