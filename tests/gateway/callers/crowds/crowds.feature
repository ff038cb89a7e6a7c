@gateway
Feature: Callers that try to exhaust memory or descriptors

  Bounds: peak memory (RSS) below 1.5 times the memory at rest and the budget of 32 MB of
  a host with 128 MB; at most 256 descriptors.

  # Guards against a process that is killed for its memory, runs out of descriptors or
  # hangs, since nothing accounts for what all its connections hold together.
  Scenario Outline: A gateway outlives callers that send <what>
    Given gateway processes on hosts with 128 MB and 256 descriptors
    When many callers at once send <what>
    Then the process runs within its memory and descriptors
    And an ordinary request is answered

    Examples: Bodies
      | what                                             |
      | announced bodies, whole                          |
      | announced bodies in pieces, whole                |
      | announced bodies without their last byte         |
      | chunked bodies in large chunks, whole            |
      | chunked bodies in large chunks without their end |
      | chunked bodies in tiny chunks without their end  |
      | announced bodies far above the limit             |
      | unannounced bodies far above the limit           |

    Examples: Heads and connections
      | what                  |
      | heads that never end  |
      | heads of many headers |
      | nothing               |

    Examples: Responses
      | what                                     |
      | requests whose responses they never read |
      | requests whose streams they never read   |
      | pipelined requests                       |

    Examples: Other listeners
      | what                                                            |
      | calls of 6 MiB to the control listener without their last byte |
      | frames to the links without their last byte                     |
      | forwarded requests without their last byte                      |

  # Guards against limits so low that a permitted request is refused, and against a cost
  # per chunk: 4 MiB in chunks of 2 bytes took 113 MB.
  Scenario: An idle gateway serves one request of permitted size in tiny chunks
    Given gateway processes on hosts with 128 MB and 256 descriptors
    When one caller sends 4 MiB in chunks of 2 bytes
    Then the request is answered with at most 20 MB more
    And an ordinary request is answered

  # Guards against an entry process that is killed for its memory: its server keeps up to
  # 512 KiB of each body, and stored requests wait with their bodies.
  Scenario Outline: An entry process outlives callers that send <what>
    Given an entry process with a service
    When many callers of the entry process at once send <what>
    Then the entry process runs within its memory and descriptors
    And an ordinary request is answered

    Examples: Entry
      | what                           |
      | bodies without their last byte |
      | large requests that are stored |
