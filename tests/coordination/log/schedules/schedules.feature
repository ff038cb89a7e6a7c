@state
Feature: The replicated log in seeded schedules of failures

  Messages are lost, delayed, repeated and reordered; members are cut off one
  way and both ways, paused, crashed at sync boundaries with torn files; disks
  fill up and fail; wall clocks jump; leaders hand over; members change.

  Scenario Outline: What must hold does in schedules of <kind>
    When <count> seeded schedules of "<kind>" run
    Then each of them keeps what must hold

    Examples:
      | kind                                   | count |
      | mixed failures                         | 800   |
      | member changes                         | 400   |
      | leaders that crash early               | 200   |
      | five members, leaders that crash early | 300   |
      | a second loss in a repair              | 400   |
