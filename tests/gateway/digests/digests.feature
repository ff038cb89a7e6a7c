@gateway
Feature: What gateways tell each other a few times a second

  Scenario: The digests of a large deployment stay within the share of a core
    Given a gateway among 92 others that know 105 backend servers
    When the 120 digests of a second come
    Then they take less than 3.1 % of a core in the middle

  Scenario: Report windows are told until reports are made, older ones now and then
    Given a gateway that counted requests in 6 windows in a row
    Then its digests tell 2, 2, 2 and 4 windows, the present one always

  Scenario: A registry that differs is fetched, and one that is equal is not
    Given a gateway among 92 others that know 105 backend servers
    When digests come from gateways that know the same
    Then nothing is fetched
    When one backend server is known elsewhere only
    Then the registry is fetched once in 0.5 s
