@routing
Feature: Engines that are slower than expected

  Scenario: An engine that is temporarily four times as slow is avoided and then reused
    Given 4 engines, of which "e1" takes 4 times as long from 5 s to 20 s
    When prompts with distinct shared parts arrive 20 times a second for 40 s
    Then from 8 s to 20 s "e1" gets less than a tenth of the prompts
    And from 25 s on "e1" gets more than a fifth of the prompts

  Scenario: A slowdown within tolerance does not change the pace
    Given 4 engines, of which "e1" takes 1.8 times as long from 0 s to 40 s
    When prompts with distinct shared parts arrive 20 times a second for 40 s
    Then the pace of "e1" is always 1
