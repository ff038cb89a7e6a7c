@state
Feature: The schedule checks detect injected defects

  Scenario Outline: An injected defect is detected: <defect>
    Given members with the injected defect "<defect>"
    When seeded schedules of "<kind>" run until one fails
    Then the failure is a violation that contains one of "<violation>"

    Examples:
      | defect                                  | kind                                   | violation            |
      | vote not synced                         | mixed failures                         | two leaders / different entries / committed |
      | entry of an old term committed directly | five members, leaders that crash early | committed / different entries |
      | read without leader confirmation        | mixed failures                         | a read               |
      | learner counted as voter                | membership changes                     | committed / different entries |
      | resent change applied twice             | mixed failures                         | was applied twice    |
