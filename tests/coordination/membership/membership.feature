@state
Feature: Failure detection between the system's own processes

  Background:
    Given 10 processes in 4 zones that know each other after 20 s

  Scenario: Only a process that crashed is declared dead
    When "entry-3" crashes
    Then within 15 s all see "entry-3" as DEAD
    And only "entry-3" was declared dead

  Scenario: A process that leaves is not declared dead
    When "entry-3" leaves
    Then within 15 s all see "entry-3" as LEFT
    And no process was declared dead

  Scenario: A link that loses packets in one direction is shown as one-way
    When packets from "entry-1" to "entry-2" are lost
    And 60 s pass
    Then no process was declared dead
    And "entry-1" shows the link to "entry-2" as "ONE_WAY"
    And "entry-2" does not show the link to "entry-1" as "FAILED"

  Scenario: Without helpers, packet loss in one direction makes a live process dead
    Given the processes ask no helpers to probe
    When packets from "entry-1" to "entry-2" are lost
    And 60 s pass
    Then some process was declared dead

  Scenario: A paused process declares no process dead and is shown as paused
    When "entry-3" is paused for 20 s
    Then "entry-3" declared no process dead
    And within 20 s all see "entry-3" as ALIVE
    And all show that "entry-3" was paused

  Scenario Outline: A process that cannot <direct> packets declares no process dead
    When "entry-3" cannot <direct> packets for 60 s
    Then "entry-3" reported itself as isolated
    And "entry-3" declared no process dead
    And within 30 s all see "entry-3" as ALIVE
    And only "entry-3" was declared dead

    Examples:
      | direct  |
      | send    |
      | receive |

  Scenario: A flapping process is shown as flapping
    When "entry-3" cannot send packets for 12 s, 4 times
    Then within 30 s all see "entry-3" as ALIVE
    And all show that "entry-3" flaps

  Scenario: A process that restarts without its state rejoins
    When "entry-3" crashes
    And 2 s pass
    And "entry-3" restarts
    Then within 15 s all see each process with its actual health

  # Guards against gateways that still know few of their peers when traffic begins: each
  # read the table of a seed that had just started, and compared again after 30 s.
  Scenario Outline: Gateways that start at once know each other within 6 s
    Given <count> gateways in 5 zones that start at once, with <loss> of the packets lost
    Then after 6 s each of them knows all others as present
    And while nothing changes they send at most 4000 bytes per second each

    Examples: start
      | count | loss |
      | 9     | 0.0  |
      | 93    | 0.0  |
      | 93    | 0.05 |

  Scenario: The loss of a zone does not cause a burst of traffic
    Given 56 processes in 7 zones that know each other
    When the zone of "entry-0" is lost
    Then within 25 s all see the zone of "entry-0" as lost
    And only processes of the zone of "entry-0" were declared dead
    And no process sent over 5000 bytes in 1 s, or over 2500 bytes/s in 10 s

  Scenario: Two regions rejoin after an hour of separation
    Given 8 processes in 2 regions that know each other
    When the regions are separated for 3600 s while each has a restart and a crash
    Then no process was declared dead by another region
    And the link processes of each region report the other region as separated
    When the regions are reconnected
    Then within 60 s all see each process with its actual health
    And each process sent at most 2500 bytes per second while rejoining

  Scenario: Packets that are damaged, of another cluster or of another key are dropped
    Then a packet is accepted only complete, unchanged, and with its key and cluster

  Scenario: Old packets that are sent again do not change the member table
    Then packets recorded before a crash do not revive the dead process

  Scenario: Processes agree after loss, duplicates, pauses, crashes and restarts
    Then after 25 seeded schedules all processes see each process with its health

  Scenario: Processes find each other over UDP
    Given 4 agents on loopback with short intervals
    Then all agents see 4 as ALIVE
    When one agent leaves and another stops without an announcement
    Then all agents see 1 as LEFT
    And all agents see 1 as DEAD
    And packets of an agent with another key are dropped with reason "code"
