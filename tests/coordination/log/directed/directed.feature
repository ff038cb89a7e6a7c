@state
Feature: Scripted failures of the replicated log

  Scenario: A member catches up through a snapshot after an hour of isolation
    Given a group of 3 members with a leader and an election timeout of 30 s
    When one member is isolated while 1500 changes are committed within an hour
    And the member's network connection is restored
    Then the member has installed a snapshot and holds the same state as the others
    And the leader's term has not changed

  Scenario: A restarted member catches up through a snapshot after log compaction
    Given a group of 3 members with a leader and an election timeout of 0.3 s
    When one member is down while 1500 changes are committed
    And the member restarts
    Then the member has installed a snapshot and holds the same state as the others
    And the leader's log holds at most 60 entries

  Scenario: Change ids stay known when the wall clock jumps during a leader change
    Given a group of 1 members with a leader and an election timeout of 0.3 s
    When change "c1" is proposed
    And the member's wall clock jumps by an hour and the member crashes
    And change "c1" is proposed again
    Then both results have the same revision

  Scenario: A full disk is reported to callers and the member recovers
    Given a group of 1 members with a leader and an election timeout of 0.3 s
    When change "c1" is proposed while the disk is full
    Then the error says that the disk is full
    When disk space is available again
    And change "c2" is proposed
    Then the change is accepted

  Scenario: A member stops after a failed sync without acknowledging the change
    Given a group of 1 members with a leader and an election timeout of 0.3 s
    When change "c1" is proposed and the next sync fails
    Then the member has stopped without a result for the change
