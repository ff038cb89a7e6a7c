@state
Feature: The checks of the schedules find planted faults

  Scenario Outline: A planted fault is found: <fault>
    Given members with the planted fault "<fault>"
    When seeded schedules of "<kind>" run until one fails
    Then the failure is a violation that says one of "<violation>"

    Examples:
      | fault                             | kind                                   | violation            |
      | vote not synced                   | mixed failures                         | two leaders / different entries / committed |
      | commit of an old term by counting | five members, leaders that crash early | committed / different entries |
      | read without a read index         | mixed failures                         | a read               |
      | learner counted as voter          | member changes                         | committed / different entries |
      | resend applied twice              | mixed failures                         | was applied twice    |
