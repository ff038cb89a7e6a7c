@state
Feature: State members whose disks are full for seconds

  # Guards against a member without its groups whose process runs on.
  Scenario Outline: A member whose disk is full at its first start joins later: <calls>
    Given three members, the last of which has a disk that becomes full for <calls>
    When its disk has room 1.5 s later
    Then all members are ready within 7 s, and a change is confirmed

    Examples:
      | calls     |
      | WRITES    |
      | NEW_FILES |
      | SYNCS     |

  # Guards against changes that are refused for good after all disks have room again.
  Scenario: Disks are full one after another while changes are made
    Given three members, the last of which has a disk that becomes full for NO
    Then all members are ready within 7 s, and a change is confirmed
    When each disk in turn is full for 1.2 s in each way, with changes all the while
    Then all members are ready within 7 s, and a change is confirmed
    And no member has ended, and all hold each confirmed change
