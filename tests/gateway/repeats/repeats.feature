@gateway
Feature: A request that crashes engines reaches few of them, however often it comes again

  # Guards against gateways that judge each attempt alone: none remembered that the same
  # request had already ended engines, so its repeats ended engine after engine.
  Scenario Outline: A <kind> under which three engines crashed reaches at most three more
    Given 6 gateways and <engines> engines that crash under one <kind>
    When sound requests arrive for 3 s
    And the request comes again 4 times a second beside sound ones until 9 s after the third crash
    Then the request reaches engines at most 3 times later than 3 s after the third crash
    And from 6 s after the third crash sound requests begin at least 0.9 times as often as before
    And a repeated sound request beside it is served at "g1"
    And the last attempt was rejected as not executed

    Examples: kinds of routes
      | kind                        | engines |
      | lookup                      | 8       |
      | purchase                    | 8       |
      | resumable stream            | 8       |
      | single stream               | 8       |
      | stream without shared parts | 8       |

    Examples: few engines
      | kind             | engines |
      | lookup           | 4       |
      | lookup           | 2       |
      | purchase         | 1       |
      | resumable stream | 2       |

  # Guards against a crash that is not known as one, since another process accepts
  # connections at the engine's address at once.
  Scenario Outline: A <kind> under which engines crash that are back at once reaches few of them
    Given 6 gateways and 8 engines that crash under one <kind>
    And crashed engines are back at once
    When sound requests arrive for 3 s
    And the request comes again 4 times a second beside sound ones until 9 s after the third crash
    Then the request reaches engines at most 3 times later than 3 s after the third crash
    And a repeated sound request beside it is served at "g1"
    And the last attempt was rejected as not executed

    Examples: kinds of routes
      | kind             |
      | lookup           |
      | resumable stream |

  # Guards against retries that end a second engine with the attempt that ended a first one.
  Scenario Outline: After two crashes under a <kind> its next attempt reaches one engine
    Given 4 gateways and 8 engines that crash under one <kind>
    When the request comes again, one attempt at a time, until 2 engines have crashed
    Then its next attempt reaches one engine

    Examples: kinds of routes
      | kind             |
      | lookup           |
      | resumable stream |

  # Guards against a retry that was decided before the crash of its own attempt was known.
  Scenario Outline: A <kind> that crashes a second engine is not sent to a third
    Given 4 gateways and 8 engines that crash under one <kind>
    When the request comes once while all engines but one are down
    And the engines are back
    Then its next attempt reaches one engine

    Examples: kinds of routes
      | kind             |
      | lookup           |
      | resumable stream |

  Scenario Outline: A <kind> after <crashes> crashes is rejected by <hosts> after a restart
    Given 6 gateways and 8 engines that crash under one <kind>
    When sound requests arrive for 1 s
    And the request comes again 4 times a second beside sound ones until <crashes> engines have crashed
    And all rest for <rest> s
    And <hosts> are killed, restart and run for 3 s
    Then each gateway rejects the request and serves sound ones

    Examples: kinds of routes
      | kind             | crashes | rest | hosts            |
      | lookup           | 3       | 2    | the last gateway |
      | purchase         | 3       | 6    | the last gateway |
      | resumable stream | 3       | 2    | all gateways     |
      | lookup           | 3       | 6    | all gateways     |

  # Guards against a quarantine without an end: a request that did not cause the crashes.
  Scenario Outline: A sound <kind> at the crashes of all engines is served again
    Given 6 gateways and 4 engines, and a sound <kind>
    When the request comes again 8 times a second while all engines end 3 times
    Then the request is served at all gateways within 6 s after the engines are back

    Examples: kinds of routes
      | kind             |
      | lookup           |
      | purchase         |
      | resumable stream |
