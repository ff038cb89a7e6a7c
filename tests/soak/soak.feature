@soak
Feature: Gateways under faults from outside

  Scenario Outline: A short run keeps all promises: seed <seed>
    When seed <seed> is played for <length_s> s
    Then no promise was broken

    Examples: a short run
      | seed | length_s |
      | 1    | 15       |

    Examples: seeds that failed: links stayed silent for good after a cut (6, 8, 14)
      | seed | length_s |
      | 6    | 25       |

  Scenario Outline: What breaks a promise is seen: <what>
    Given a caller that sent "c1" to <path>
    When <what>
    Then the run fails with "<fault>"

    Examples:
      | path      | what                                                    | fault              |
      | /buy/c1   | two backend servers run it                              | ran at             |
      | /draft/c1 | two backend servers run it                              | ran at             |
      | /buy/c1   | a backend server runs it after its caller got 503       | got 503 and ran    |
      | /buy/c1   | a backend server runs it as /buy/c2                     | not as it was sent |
      | /buy/c1   | its caller gets the answer to another request           | another answer     |
      | /buy/c1   | its caller gets a success without proof                 | without proof      |
      | /notes/c1 | its caller gets events 1 to 3, then 5 to 12, and the end | events             |
      | /notes/c1 | its caller gets event 2 twice                           | events             |
      | /notes/c1 | its caller gets events 1 to 11 and the end              | looked complete    |
      | /notes/c1 | its caller gets an event of another request             | events             |
      | /buy/c1   | version 4 is read after version 5 was acknowledged      | read version 4     |

  Scenario Outline: What keeps the promises is let through: <what>
    Given a caller that sent "c1" to <path>
    When <what>
    Then the run passes

    Examples:
      | path      | what                                          |
      | /look/c1  | two backend servers run it                    |
      | /notes/c1 | two backend servers run it                    |
      | /buy/c1   | its caller gets its own answer                |
      | /buy/c1   | its caller gets its own answer cut short      |
      | /notes/c1 | its caller gets events 1 to 12 and the end    |
      | /notes/c1 | its caller gets events 1 to 7 and a half, cut |

  Scenario: A plan is the same for the same seed and spares a second disk
    Then plans of 200 seeds repeat, hold all kinds, and lose one disk in 14 s at most
