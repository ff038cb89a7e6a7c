@routing
Feature: Ejection of failing backend servers

  Scenario: Failing backend servers are ejected up to a share and return gradually
    Given 4 backend servers
    When "s1" fails 5 times in a row
    Then "s1" is ejected
    When "s2" fails 20 times in a row
    Then "s2" is not ejected
    And "s1" returns after 10 seconds with a weight of 0.1
    And "s1" has a weight of 1 after 30 seconds
    And a single backend server is never ejected
