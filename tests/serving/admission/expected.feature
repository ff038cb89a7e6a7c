@gateway
Feature: Generations that would be late are sent away, the less urgent ones first

  Scenario: In an overload, those that are taken are in time
    Given engines that read 60000 tokens a second, and 110000 come for 20 s
    When all are taken
    Then less than 0.3 of them are in time
    When those that would be late are sent away
    Then more than 0.5 of them are in time
    And more of the urgent ones are in time than of the others

  Scenario: Without a backlog nobody is sent away
    Then a request that is expected in time is taken, whatever its rank

  Scenario: Nobody is sent away for long, and late ones do not make others late
    Then for any times a caller is sent away for at most 0.3 of its time
    And one that is late in any case is taken while the engines are nearly idle
    And a prompt that takes longer to read than its objective is taken as well
