@state
Feature: State members with files on disk and gRPC connections

  Scenario: A watch delivers every change while the leader stops and restarts
    Given three running members
    And a client watches all keys
    When 40 changes are committed while the leader stops and restarts
    Then all members store 40 keys
    And the watch delivers each change once and in order

  Scenario: A watch delivers no revision that its client already has
    Given three running members
    When 5 changes are committed
    And a client starts a watch after a revision that no member has reached
    Then the watch delivers nothing up to that revision

  Scenario: Only the leader expires a lease, and the fencing number grows
    Given three running members
    When "a" acquires the lease "x" for 200 ms
    Then "b" acquires the lease "x" with the next fencing number within 5 s
    And a client's command that expires the lease is refused

  Scenario: A member that lost its data can't join again under its old id
    Given three running members
    When 5 changes are committed
    And a follower restarts with an empty data folder
    Then the follower stops with the error "lists this member with another data folder's incarnation"

  Scenario: A member of another cluster can't be added
    Given three running members
    When a client adds a member of cluster "d"
    Then the membership change is refused with "belongs to cluster 'd'"

  Scenario: A spare replaces a lost member, and the loss of a second loses no data
    Given three running members and a spare that replaces a voter lost for 0.5 s
    When 5 changes are committed
    And a follower stops and does not restart
    Then the spare is a voter and the lost member is removed within 15 s
    When a second follower stops and does not restart
    And 5 changes are committed
    Then the remaining members store 10 keys

  Scenario: The dump shows a group's role, members, peers and log file
    Given three running members
    Then the leader's dump shows its members, replicating peers and log file size
