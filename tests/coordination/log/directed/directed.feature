@state
Feature: Single courses of the replicated log

  Scenario: A member that was cut off for an hour catches up through a snapshot
    Given a settled group of 3 members with an election timeout of 30 s
    When one member is cut off while 1500 changes are made within an hour
    And the member is connected again
    Then it has installed a snapshot and holds the same state
    And its return has not ended the leader's term

  Scenario: A member restarts after 1,500 changes and the log is cut
    Given a settled group of 3 members with an election timeout of 0.3 s
    When one member is down while 1500 changes are made
    And the member starts again
    Then it has installed a snapshot and holds the same state
    And the leader keeps at most 60 entries

  Scenario: A wall clock that jumps while a leader changes forgets no change
    Given a settled group of 1 members with an election timeout of 0.3 s
    When the change "c1" is made
    And the member's wall clock jumps by an hour and the member crashes
    And the change "c1" is made again
    Then both answers name the same revision

  Scenario: A full disk is an error to callers, and the member goes on later
    Given a settled group of 1 members with an election timeout of 0.3 s
    When the disk is full and the change "c1" is made
    Then the answer says that the disk is full
    When the disk has room again
    And the change "c2" is made
    Then the change is accepted

  Scenario: A failed sync ends the member and nothing was acknowledged
    Given a settled group of 1 members with an election timeout of 0.3 s
    When the next sync fails and the change "c1" is made
    Then the member has ended without an answer
