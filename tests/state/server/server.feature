@state
Feature: State members with real files and connections

  Scenario: Three members commit, hand over, restart and keep a watch whole
    Given three running members
    And a watch of all keys
    When 40 changes are made while the leader is stopped and started again
    Then all members hold 40 keys
    And the watch has seen each change once and in order

  Scenario: A watch never goes back
    Given three running members
    When 5 changes are made
    And a watch begins at a revision that no member has reached
    Then it gets nothing before that revision is passed

  Scenario: A lease lapses only by the leader and its number grows
    Given three running members
    When "a" acquires the lease "x" for 200 ms
    Then "b" gets the lease "x" with a larger number within 5 s
    And a client that lets a lease lapse is refused

  Scenario: An emptied disk can't come back under its old name
    Given three running members
    When 5 changes are made
    And a follower comes back with an empty data folder
    Then it ends because "the group knows this member with another data folder"

  Scenario: A member of another cluster is not taken in
    Given three running members
    When a member of cluster "d" is added by hand
    Then the change is refused because "belongs to cluster 'd'"

  Scenario: A spare replaces a lost member, and a second loss loses nothing
    Given three running members and a spare, with a repair after 0.5 s
    When 5 changes are made
    And a follower is lost for good
    Then the spare is a voter and the lost member is none within 15 s
    When a second follower is lost for good
    And 5 changes are made
    Then the remaining members hold 10 keys

  Scenario: The dump names what an operator asks for
    Given three running members
    Then the leader's dump names its role, members, peers and files
