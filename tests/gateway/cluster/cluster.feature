@gateway
Feature: Several gateways that know only three seeds

  Scenario: A configuration accepted anywhere is in force everywhere, and stays
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at "g6"
    Then it is in force at all of them within 2 s and read back at "g5"
    When version 4 is sent to "g2"
    Then it is acknowledged and version 5 stays in force
    When versions 7 and 8 are sent at once to "g1" and "g5"
    Then version 8 is in force at all of them within 2 s and read back at "g2"

  Scenario: An invalid configuration is refused and never in force
    Given 4 gateways with a disk and 2 without
    When an invalid version 9 is sent to "g5"
    Then it is refused and no version is in force

  Scenario: What was accepted survives the loss of the disk that accepted it
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at the leader, whose disk is lost at once
    Then version 5 is read back at "g5" within 8 s
    And the group has 3 voters again, none of them with the lost disk

  Scenario: A gateway that comes back without a disk learns what is in force
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at "g1"
    And "g6" starts again
    Then it has version 5 within 3 s

  Scenario: A gateway without a disk can serve as soon as a seed tells it how
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at "g1"
    And a backend server announces itself to "g2"
    And "g6" starts again and others find it only after 5 s
    Then it has version 5 and the backend server within 0.5 s

  Scenario: All gateways are killed at once and serve again before a leader is known
    Given 4 gateways with a disk and 2 without
    When version 5 is accepted at "g1"
    And a backend server announces itself to "g6"
    And all are killed after 2 s and start again without a majority
    Then version 5 and the backend server are known at all of them within 2 s

  Scenario: Backend servers told to one gateway are known at all, leaving ones too
    Given 4 gateways with a disk and 2 without
    When a backend server announces itself to "g6"
    Then all of them know it within 1 s
    When it withdraws at "g2"
    Then none of them sends it requests after 1 s

  Scenario: A caller that stops waiting for the state group harms nothing
    Given 4 gateways with a disk and 2 without
    When 20 proposals at the leader are cancelled before they are committed
    And version 5 is accepted at "g1"
    Then it is in force at all of them within 2 s and read back at "g5"
