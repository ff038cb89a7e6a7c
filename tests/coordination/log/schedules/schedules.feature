@state
Feature: The replicated log in seeded failure schedules

  Messages are lost, delayed, duplicated and reordered. Members are isolated in one
  or both directions, paused, and crashed at sync boundaries with torn files. Disks
  fill up and fail, wall clocks jump, leaders transfer their leadership, and the
  membership changes.

  Scenario Outline: The invariants of the log hold in schedules of <kind>
    When <count> seeded schedules of "<kind>" run
    Then no schedule violates an invariant

    Examples:
      | kind                                   | count |
      | mixed failures                         | 800   |
      | membership changes                     | 400   |
      | leaders that crash early               | 200   |
      | five members, leaders that crash early | 300   |
      | a second host loss during a repair     | 400   |
