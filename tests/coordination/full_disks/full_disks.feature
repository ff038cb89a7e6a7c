@state
Feature: Disks that are full for seconds, one after another

  The disks of all hosts are full in turn, each in another way, while clients write and
  read, lost voters are replaced, and in half of the schedules hosts are restarted.

  # Guards against changes that are refused for good after all disks have room again.
  Scenario: Changes are confirmed again once the last disk has room
    When 40 seeded schedules of full disks run, without and with restarts
    Then each confirms a change within 4 s of the contact time and loses none

  Scenario Outline: A planted fault is found: <fault>
    Given members with <fault>
    When seeded schedules of full disks run until one fails
    Then the failure contains one of "<violation>"

    Examples:
      | fault                                 | violation                          |
      | a snapshot that is retried at once    | saves of snapshots                 |
      | a chunk that is refused at once       | transfers of snapshots             |
      | a chunk that is confirmed too early   | transfers of snapshots             |
      | a writer that ends without room       | a snapshot writer ended            |
      | a batch that is given up without room | ViolationError                     |
      | a torn write that stays in the log    | damaged / converge / committed     |
