@gateway
Feature: Gateways that discover each other through three seeds

  Scenario: A configuration accepted at one gateway takes effect at all and is not rolled back
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at "g6"
    Then version 5 is in force at all gateways within 2 s and read back at "g5"
    When version 4 is sent to "g2"
    Then version 4 is acknowledged and version 5 stays in force
    When versions 7 and 8 are sent concurrently to "g1" and "g5"
    Then version 8 is in force at all gateways within 2 s and read back at "g2"

  # Guards against limits for callers that also bound the operator's calls.
  Scenario: A configuration larger than the limits that it sets is accepted again
    Given 4 gateways with a disk and 2 without
    When version 5 with 350 routes and a body limit of 4096 bytes is sent to "g1"
    Then it is acknowledged at "g1", and again at "g1" and "g5"
    And version 6 of that kind is acknowledged at "g6"

  Scenario: An invalid configuration is rejected and never takes effect
    Given 4 gateways with a disk and 2 without
    When an invalid version 9 is sent to "g5"
    Then version 9 is rejected and no version is in force

  Scenario: An accepted configuration survives the loss of the leader's disk
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at the leader, which immediately loses its disk
    Then version 5 is read back at "g5" within 8 s
    And the group has 3 voters again, without the member on the lost disk

  Scenario: A restarted gateway without a disk fetches the configuration in force
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at "g1"
    And "g6" restarts
    Then "g6" knows version 5 within 3 s

  Scenario: A gateway without a disk serves once it has fetched the state of a seed
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at "g1"
    And a backend server announces itself to "g2"
    And "g6" restarts and receives no datagrams from its peers
    Then "g6" knows version 5 and the backend server within 0.5 s

  Scenario: After a crash of all gateways the restarted ones serve before a leader is elected
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at "g1"
    And a backend server announces itself to "g6"
    And all gateways are killed after 2 s and 3 restart without a majority of voters
    Then all running gateways know version 5 and the backend server within 2 s

  Scenario: A backend server's announcement and withdrawal reach all gateways
    Given 4 gateways with a disk and 2 without
    When a backend server announces itself to "g6"
    Then all gateways know the backend server within 1 s
    When the backend server withdraws at "g2"
    Then within 1 s no gateway selects it for requests

  # Guards against a withdrawal that peers take for older than the latest announcement.
  Scenario Outline: A withdrawal at a gateway without the latest announcements (<what>)
    Given 4 gateways with a disk and 2 without
    When a backend server announces itself to "g6"
    Then all gateways know the backend server within 1 s
    When it announces itself 5 times more to "g1", which <what>
    And the backend server withdraws at "g2"
    Then within 1 s no gateway selects it for requests
    When a late announcement of it reaches "g3"
    Then for 1 s no gateway selects it for requests
    When it starts again under the same id and announces itself to "g4"
    Then all gateways know the backend server within 1 s

    Examples:
      | what               |
      | goes on            |
      | is killed just then |

  Scenario: Cancelled proposals do not affect later ones
    Given 4 gateways with a disk and 2 without
    When 20 proposals at the leader are cancelled before they are committed
    And version 5 is accepted at "g1"
    Then version 5 is in force at all gateways within 2 s and read back at "g5"
