@platform
Feature: Requests, files and calls of the platform are decoded into gateway types

  Scenario: A settings file is decoded into the settings of a gateway
    Given the platform's settings file of a machine with a disk
    Then host, zone, listeners, seeds and bounds have the values of the file
    And a machine without disk_mb has no data folder

  Scenario Outline: A settings file without a required field is refused
    Given the platform's settings file without "<field>"
    Then the settings are refused with an error that names "<field>"

    Examples:
      | field          |
      | node_name      |
      | listen.front   |
      | internal_ports |
      | seeds          |

  # Guards against a memory budget or shares of descriptors that make no sense.
  Scenario Outline: Limits of the host are read from the settings file, and checked
    Given the platform's settings file with "<field>" as "<value>"
    Then the gateway has <decoded>, or the error names "<field>"

    Examples:
      | field            | value | decoded           |
      | limits.memory_mb |       | 314572800 bytes   |
      | limits.memory_mb | 160   | 167772160 bytes   |
      | limits.memory_mb | 64    | nothing           |
      | limits.memory_mb | much  | nothing           |
      | limits.max_fds   |       | 1024 descriptors  |
      | limits.max_fds   | 10250 | 10250 descriptors |
      | limits.max_fds   | 100   | nothing           |

  Scenario: A manifest is decoded into a configuration
    Given a valid manifest
    Then routes, client accounts and limits have the values of the manifest
    And a path is routed by the longest matching prefix

  Scenario Outline: An invalid manifest is refused
    Given a valid manifest changed so that <fault>
    Then the manifest is refused

    Examples:
      | fault                                     |
      | a route names an unknown service          |
      | two routes have the same host and prefix  |
      | the weights of a route add up to 0        |
      | a timeout is 0                            |
      | two tenants have the same key             |
      | the document is truncated                 |
      | the version is not a number               |
      | a route type is unknown                   |

  Scenario: Arbitrary bytes are decoded or refused and raise no exception
    Then arbitrary manifests, announcements and headers are decoded or refused

  Scenario: The headers of a request are decoded, and reserved headers are dropped
    Given a request with all headers of the platform
    Then prompt, timeout, key and last event id have the values of the headers
    And headers that only the system may set are not forwarded

  Scenario Outline: A request limit is read from the headers of a response
    Given a response with the header "Server-Limit: <value>"
    Then its request limit is <limit>

    Examples:
      | value | limit |
      | 4     | 4.0   |
      | 0.25  | 0.25  |
      | 0     | 0.0   |
      | -1    | none  |
      | nan   | none  |
      | 1e999 | none  |
      | four  | none  |
      |       | none  |

  Scenario Outline: An announcement with an invalid field is refused
    Given an announcement with "<field>" set to <value>
    Then the call is malformed

    Examples:
      | field    | value        |
      | state    | "sleeping"   |
      | service  | 7            |
      | address  | null         |
      | sequence | "many"       |
      | slots    | true         |
      | version  | 2            |

  Scenario: An announcement names the version of the engine's software
    Given an announcement with "version" set to "v1.1"
    Then the software version is "v1.1"

  Scenario: Announcements of earlier starts are ignored
    Given an engine that restarted under the same id
    When delayed announcements of the earlier start arrive
    Then the fleet holds only the later start, at its address
    When an engine that started earlier announces the same address
    Then the fleet holds only the later start, at its address

  # Guards against a response header that the platform adds and no gateway reads.
  Scenario: The reference page lists each response header, and the decoder agrees with it
    Then each header of docs/reference/response-headers.md changes the field it states
    And the decoder of responses reads no other header

  # Guards against an entry of another writer after which a gateway no longer follows an
  # engine, or ends.
  Scenario Outline: An odd entry with <field> <value> hides no engine
    Given an engine that announces itself
    When another writer announces it with "<field>" set to <value>
    And the engine announces itself again with another address
    Then the fleet holds the engine at its new address

    Examples:
      | field    | value                |
      | sequence | 9223372036854775807  |
      | sequence | 1e300                |
      | sequence | 18446744073709551616 |
      | born     | 9223372036854775807  |
      | born     | 33000000000000       |
      | born     | 1.5                  |
      | address  | "10.0.0.1:99999"     |
      | zone     | [[[[[[[[]]]]]]]]     |
      | slots    | 1e300                |
      | models   | {"a": {"a": {}}}     |
      | service  | 7                    |
      | version  | 1                    |
      | stage    | []                   |

  # Guards against an entry of another writer that is taken for another start of an engine.
  Scenario Outline: An entry without <field> changes nothing about an engine
    Given an engine that announces itself
    When another writer announces it without "<field>"
    Then the entry is refused, and the log line names "<field>"
    When the engine announces that it leaves
    Then the fleet holds the engine as leaving

    Examples:
      | field          |
      | service        |
      | address        |
      | zone           |
      | version        |
      | slots          |
      | state          |
      | warmup_left_ms |
      | sequence       |
      | born           |

  Scenario: No foreign entry hides what an engine says of itself
    Then with any fields missing, retyped or foreign, an engine can still state its departure

  # Guards against load reports that are lost because another release adds a field.
  Scenario Outline: A load report "<report>" is read as far as it is known
    Then the load report "<report>" has the figures "<figures>", time "<percent>" and <unknown> unknown fields

    Examples:
      | report              | figures  | percent | unknown |
      | 3,1,64              | 3,1,64   |         | 0       |
      | 3,1,64,250          | 3,1,64   | 250     | 0       |
      | 3, 1, 64, 40        | 3,1,64   | 40      | 0       |
      | 3,1,64,100,7        | 3,1,64   | 100     | 1       |
      | 3,1,64,100,x,-9     | 3,1,64   | 100     | 2       |
      | 3,1,64,0            | 3,1,64   |         | 0       |
      | 3,1,64,-250         | 3,1,64   |         | 0       |
      | 3,1,64,1e3          | 3,1,64   |         | 0       |
      | 3,1,64,             | 3,1,64   |         | 0       |
      | 3,1,64,99999999999  | 3,1,64   |         | 0       |

  # Guards against a malformed report that sets the load of a backend server.
  Scenario Outline: A load report "<report>" is dropped
    Then the load report "<report>" is dropped

    Examples:
      | report         |
      |                |
      | 3,1            |
      | -3,1,64        |
      | 3,1,x          |
      | 3,1,64²        |
      | 3,1,64²,100    |
      | 3,1,6.4,100    |

  # Guards against a figure of thousands of digits that raises while it is converted.
  Scenario: A load report with a figure of 5000 digits is dropped
    Then a load report with a figure of 5000 digits is dropped
  # Guards against rollouts that are offered to deployments that do not ask for them.
  Scenario Outline: Settings with contracts "<contracts>" <support> rollouts
    When a settings file has the contracts "<contracts>"
    Then its gateways <support> rollouts, and a call for one is decoded accordingly

    Examples:
      | contracts          | support        |
      | none               | do not support |
      | rollouts           | do not support |
      | rollout            | support        |
      | memory, rollout    | support        |
      | memory rollout,a-b | support        |

  # Guards against orders that end a gateway's handler, or that are taken for other ones.
  Scenario Outline: An order for a rollout with <field> set to <value> gets <status>
    When an order for a rollout with <field> set to <value> is decoded
    Then the order is <status>

    Examples:
      | field      | value                | status  |
      | duration_s | 12                   | decoded |
      | duration_s | 0.001                | decoded |
      | duration_s | 1e300                | decoded |
      | duration_s | 0                    | 400     |
      | duration_s | -0.5                 | 400     |
      | duration_s | null                 | 400     |
      | duration_s | true                 | 400     |
      | duration_s | "12"                 | 400     |
      | duration_s | 1e999                | 400     |
      | service    | 7                    | 400     |
      | service    | ""                   | 400     |
      | service    | null                 | 400     |
      | target     | ["v2"]               | 400     |
      | target     | ""                   | 400     |
      | extra      | 1                    | decoded |

  Scenario: The running requests of a report are read, and an invalid list is none
    Then reports with valid lists of running requests state the events of each
    And reports with invalid lists of running requests are read without them

  # Guards against a stream that has ended before its move and counts as stopped by it.
  Scenario: The answer that an engine runs no such request differs from other errors
    Then of the answers to a move with status 404, 409, 500 and 503 only 404 states no run
