@gateway
Feature: Disks of the state group's hosts that are full for seconds

  # Guards against a host that is lost to the group because it was added on a full disk.
  Scenario Outline: A host that is added while its disk is full joins later: <calls>
    Given 4 gateway processes, of which 4 have a disk
    When a voter is lost, and the disk of the spare is full for <calls> as it is added
    And it has room 1.5 s later
    Then the spare becomes a voter within 7 s
    And a configuration is confirmed within 7 s and read at all others

    Examples:
      | calls     |
      | WRITES    |
      | NEW_FILES |
      | SYNCS     |

  # Guards against a first member that is never started.
  Scenario Outline: A first member whose disk is full at the founding joins: <calls>
    Given 4 gateway processes, of which 3 have a disk
    When the disk of the second is full for <calls> until 1.5 s after the founding
    Then a configuration is confirmed within 7 s and read at all
    And within 7 s the second has founded the group with the others

    Examples:
      | calls     |
      | WRITES    |
      | NEW_FILES |
      | SYNCS     |

  # Guards against a group that is never founded.
  Scenario Outline: A founder whose disk is full founds the group later: <calls>
    Given a host that was agreed on as the founder, with a disk full for <calls>
    When it founds the group, and its disk has room 1.5 s later
    Then it leads a group within 7 s

    Examples:
      | calls     |
      | WRITES    |
      | NEW_FILES |
      | SYNCS     |

  # Guards against changes that are refused at a gateway as long as its disk is full.
  Scenario Outline: Changes are confirmed at a gateway that led with a disk now full: <calls>
    Given 4 gateway processes, of which 3 have a disk
    When the disk of the leader is full for <calls>
    Then a configuration is confirmed at the same gateway within 4 s, and again
    When that disk has room
    Then a configuration is confirmed within 7 s and read at all

    Examples:
      | calls  |
      | WRITES |
      | SYNCS  |

  # Guards against changes that are refused for good after all disks have room again.
  Scenario: Disks are full one after another while configurations are sent
    Given 4 gateway processes, of which 3 have a disk
    When the disk of each is full for 2.5 s, each in another way, and 0.5 s pass
    Then a configuration is confirmed within 7 s and read at all
