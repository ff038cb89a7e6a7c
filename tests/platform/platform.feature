@platform
Feature: The platform's words, decoded once

  Scenario: A settings file gives the settings of a gateway
    Given the platform's settings file of a machine with a disk
    Then host, zone, listeners, seeds and bounds are as it says
    And a machine without disk_mb has no data folder

  Scenario Outline: A settings file that can't be used is refused with its reason
    Given the platform's settings file without "<field>"
    Then it is refused with "<field>" in the reason

    Examples:
      | field          |
      | node_name      |
      | listen.front   |
      | internal_ports |
      | seeds          |

  Scenario: A manifest gives routes, services, client accounts and limits
    Given a valid manifest
    Then routes, services, client accounts and limits are as it says
    And the route with the longest prefix is taken

  Scenario Outline: An invalid manifest is refused
    Given a valid manifest in which <fault>
    Then it is refused

    Examples:
      | fault                              |
      | a route names an unknown service   |
      | two routes share host and prefix   |
      | the weights of a route add up to 0 |
      | a timeout is 0                     |
      | two tenants share a key            |
      | the document is cut short          |
      | the version is no number           |
      | a route type is unknown            |

  Scenario: Any bytes are decoded or refused, never an error of another kind
    Then any bytes as a manifest, an announcement and headers are decoded or refused

  Scenario: A request's head is decoded into what its fields hold
    Given a request with all fields of the platform
    Then its prompt, patience, key and resume point are as sent
    And what only the system sets is dropped

  Scenario Outline: Announcements with wrong fields name no backend server
    Given an announcement with "<field>" set to <value>
    Then it is malformed

    Examples:
      | field    | value        |
      | state    | "sleeping"   |
      | service  | 7            |
      | address  | null         |
      | sequence | "many"       |
      | slots    | true         |

  Scenario: Late and forged announcements change nothing
    Given an engine that started again under its id
    When announcements of its earlier start arrive late
    Then the later start stays, with its address
    When an announcement of an earlier start claims its address
    Then the later start stays, with its address
