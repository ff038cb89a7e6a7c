@gateway
Feature: Refusal of generations whose first event would be late, least urgent first

  Scenario: Under overload, admitted generations meet the objective for the first event
    Given engines that compute 60000 tokens a second, and 110000 arrive for 20 s
    When all generations are admitted
    Then the first event of less than 0.3 of them is in time
    When the generations that would be late are refused
    Then the first event of more than 0.5 of them is in time
    And a larger share of the urgent generations than of the others is in time

  Scenario: Without a backlog no request is refused
    Then a request whose first event is expected in time is admitted at any priority

  Scenario: Retry delays are short, and late requests do not make others late
    Then for any times a retry delay is at most 0.3 of the caller's remaining time
    And a request that is late in any case is admitted while the engines are nearly idle
    And a prompt that takes longer than the objective is admitted under the same condition
