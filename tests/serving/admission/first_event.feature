@gateway
Feature: Refusal of generations that would be late, the least urgent first

  Scenario: Under overload, admitted generations meet their objective
    Given engines that compute 60000 tokens a second, and 110000 arrive for 20 s
    When all are admitted
    Then less than 0.3 of them are in time
    When those that would be late are refused
    Then more than 0.5 of them are in time
    And a larger share of the urgent ones than of the others is in time

  Scenario: Without a backlog no request is refused
    Then a request that is expected in time is admitted at any priority

  Scenario: Retry delays are short, and late requests do not make others late
    Then for any times a retry delay is at most 0.3 of the caller's remaining time
    And a request that is late in any case is admitted while the engines are nearly idle
    And a prompt whose computation exceeds the objective is admitted likewise
