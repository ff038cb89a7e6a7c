@gateway
Feature: Backend servers that a rollout allows a request

  # Guards against requests at a version without a permission, whatever became of the order.
  Scenario Outline: <request> with <order> <age> ms after the permission
    Given backend servers of v1 and v2, and v1 is confirmed
    And <order> is known
    When <request> is to be sent <age> ms later
    Then it may use <versions>

    Examples: first attempts
      | request                      | order                   | age  | versions |
      | a request                    | no order                | 0    | v1       |
      | a request                    | an order without permit | 0    | v1       |
      | a request                    | share 0 for v2          | 100  | v1       |
      | a request                    | share 0.999 for v2      | 100  | v2       |
      | a request                    | share 1 for v2          | 100  | v2       |
      | a request                    | share 1 for v2          | 1100 | v1       |
      | a request                    | completed v2            | 9000 | v2       |
      | a request                    | rolled_back v2          | 9000 | v1       |

    Examples: retries and streams
      | request                      | order                   | age  | versions |
      | a retry after v2             | share 0.999 for v2      | 100  | v1       |
      | a retry after v2             | share 1 for v2          | 100  | v1       |
      | a stream that began at v1    | share 1 for v2          | 100  | v1       |
      | a stream that began at v2    | share 0.01 for v2       | 100  | v2       |
      | a stream that began at v2    | share 0.01 for v2       | 1100 | none     |
      | a stream that began at v2    | rolled_back v2          | 100  | none     |
      | a stream that began at v1    | completed v2            | 100  | none     |
      | a request forwarded as OLD   | share 0.999 for v2      | 100  | v1       |
      | a resumable stream, v2 young | share 0.999 for v2      | 100  | v1       |

    Examples: backend servers that are gone
      | request                      | order                   | age  | versions |
      | a request without v2         | share 1 for v2          | 100  | v1       |
      | a request without v1         | share 0 for v2          | 100  | none     |
      | a request without v1         | share 1 for v2          | 1100 | none     |

  # Guards against a version that begins to serve before its order is known, and against one
  # that is confirmed although it was rolled back.
  Scenario Outline: Versions that are new to a gateway, with <stored> stored
    Given backend servers of v1 and v2, and v1 is confirmed
    Then the gateway has to read the order
    When a read that began then finds <stored>
    And a request is to be sent 0 ms later
    Then it may use <versions>

    Examples:
      | stored                                | versions |
      | no order                              | v1,v2    |
      | v2 active                             | v1       |
      | v2 completed                          | v2       |
      | v2 rolled_back                        | v1       |
      | v3 active after v2 rolled_back        | v1       |
      | v3 active after v2 completed          | v1,v2    |

  # Guards against a request that was chosen before the permission changed.
  Scenario Outline: A connection to <version> opens after <order> is known
    Given backend servers of v1 and v2, and v1 is confirmed
    And share 0.999 for v2 is known
    When a request is to be sent 0 ms later
    And <order> is known
    Then the request may <verdict> to <version>

    Examples:
      | order            | version | verdict     |
      | share 1 for v2   | v1      | not be sent |
      | share 1 for v2   | v2      | be sent     |
      | completed v2     | v1      | not be sent |
      | rolled_back v2   | v2      | not be sent |
      | rolled_back v2   | v1      | be sent     |

  # Guards against an outdated holder, a repeated datagram and a delayed order.
  Scenario Outline: <later> does not replace <earlier>
    Given backend servers of v1 and v2, and v1 is confirmed
    And <earlier> is known
    And <later> is known
    When a request is to be sent 0 ms later
    Then it may use <versions>

    Examples:
      | earlier                            | later                              | versions |
      | share 0 for v2 of fencing number 5 | share 1 for v2 of fencing number 4 | v1       |
      | rolled_back v2                     | share 1 for v2 of fencing number 9 | v1       |
      | completed v2                       | an order without permit            | v2       |

  # Guards against requests for the target that all reach one backend server.
  Scenario: Requests for the target are spread over its backend servers
    Given backend servers of v1 and v2, and v1 is confirmed
    And 2 more backend servers of v2
    And share 0.999 for v2 is known
    When 9 requests are sent one after the other
    Then each backend server of v2 got 3 of them

  # Guards against evidence that is lost in messages, and reports without a bound.
  Scenario: Counters survive their encoding, and reports are bounded
    Given counters of 40 routes at both versions
    When they are reported in messages of at most 8 cells
    Then the receiver has the same counters after 25 messages
    And a changed counter is in the next 2 messages
    And a permission counts as applied once no changed counter is left
