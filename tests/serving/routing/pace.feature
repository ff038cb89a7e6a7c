@routing
Feature: Engines that are slower than expected

  Scenario: One of four engines works four times as long for a while
    Given 4 engines, of which "e1" works 4 times as long from 5 s to 20 s
    When prompts come 20 times a second for 40 s, each with a subject of its own
    Then from 8 s to 20 s "e1" gets less than a tenth of them
    And from 25 s on "e1" gets more than a fifth of them

  Scenario: Noise up to the tolerated multiple changes nothing
    Given 4 engines, of which "e1" works 1.8 times as long from 0 s to 40 s
    When prompts come 20 times a second for 40 s, each with a subject of its own
    Then "e1" is expected at pace 1 all the time
