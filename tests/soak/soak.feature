@soak
Feature: Gateways under injected faults

  Scenario Outline: A short run violates no guarantee: seed <seed>
    When seed <seed> runs for <length_s> s
    Then no guarantee is violated

    Examples: a short run
      | seed | length_s |
      | 1    | 15       |

    Examples: seeds that failed because links stayed silent after dropped bytes (6, 8, 14)
      | seed | length_s |
      | 6    | 25       |

    Examples: seeds that failed because a migrated stream was tried without a pause
      | seed | length_s |
      | 5950 | 10       |
      | 5960 | 10       |

  Scenario Outline: All gateways are replaced by <build>, and one is killed meanwhile
    When the gateways of seed <seed> are replaced by <build>
    Then no guarantee is violated

    Examples:
      | build            | seed |
      | this build       | 1    |
      | the build before | 2    |

  Scenario Outline: A violation is detected: <what>
    Given a caller that sent request "c1" to <path>
    When <what>
    Then the run reports "<violation>"

    Examples:
      | path      | what                                                           | violation                        |
      | /buy/c1   | two backend servers execute the request                        | executed repeatedly              |
      | /draft/c1 | two backend servers execute the request                        | executed repeatedly              |
      | /buy/c1   | a backend server executes the request after its caller got 503 | got 503 but executed             |
      | /buy/c1   | a backend server executes the request as /buy/c2               | not as it was sent               |
      | /buy/c1   | its caller gets the response to another request                | wrong response body              |
      | /buy/c1   | its caller gets status 200 without proof of origin             | without proof of origin          |
      | /notes/c1 | its caller gets events 1 to 3, then 5 to 12, and the end       | unexpected events                |
      | /notes/c1 | its caller gets event 2 twice                                  | unexpected events                |
      | /notes/c1 | its caller gets events 1 to 11 and the end                     | complete response with 11 events |
      | /notes/c1 | its caller gets an event of another request                    | unexpected events                |
      | /buy/c1   | version 4 is read after version 5 was acknowledged             | read version 4                   |

    # Guards against streams that end as complete where their engine stopped them.
    Examples: streams of model engines
      | path     | what                                                       | violation                       |
      | /sing/c1 | its caller gets events 1 to 12 of an engine and the end    | complete response with 12 of 30 |
      | /solo/c1 | its caller gets events 1 to 29 of an engine and the end    | complete response with 29 of 30 |
      | /sing/c1 | its caller gets events 1 to 3 and 5 of an engine           | unexpected events               |
      | /sing/c1 | its caller gets events 1 to 3 and 3 of an engine           | unexpected events               |
      | /solo/c1 | its caller gets events of two runs of an engine            | parts of the runs               |
      | /solo/c1 | an engine runs the stream again that was stopped for a move | executed repeatedly            |
      | /sing/c1 | its caller gets events 1 to 9 of a sound stream            | did not come through whole      |
      | /sing/c1 | its caller gets no response to a sound stream              | did not come through whole      |
      | /sing/c1 | a stream is cut off that went through a sound gateway      | did not come through whole      |

  Scenario Outline: No violation is reported: <what>
    Given a caller that sent request "c1" to <path>
    When <what>
    Then no violation is reported

    Examples:
      | path      | what                                                  |
      | /look/c1  | two backend servers execute the request               |
      | /notes/c1 | two backend servers execute the request               |
      | /buy/c1   | its caller gets its response                          |
      | /buy/c1   | its caller gets a part of its response                |
      | /notes/c1 | its caller gets events 1 to 12 and the end            |
      | /notes/c1 | its caller gets 7 events and a part of the next event |

    Examples: streams of model engines
      | path     | what                                                      |
      | /sing/c1 | its caller gets events 1 to 30 of an engine and the end   |
      | /sing/c1 | its caller gets events of two runs of an engine           |
      | /solo/c1 | an engine resumes the stream that was stopped for a move  |
      | /solo/c1 | its caller gets events 1 to 9 of an engine that then ends |
      | /solo/c1 | a stream is cut off that went through a suspended gateway |

  Scenario: Schedules depend only on the seed and never lose two disks at once
    Then 200 schedules are repeatable, have all kinds, and lose at most one disk in 14 s

  Scenario: Never two series of full disks at once, and no disk is lost beside one
    Then 200 schedules have full disks, one series after another, without lost disks
