@gateway
Feature: A gateway without a path finds a peer that has one

  # Guards against gateways that ask only peers that are cut off themselves.
  Scenario Outline: <cut> of <count> gateways in 4 zones are cut off, <where>
    Given <count> gateways in 4 zones, of which <cut> are cut off, <where>
    When each of them forwards requests for 10 s, and digests are lost one time in ten
    Then from 3 s on at least 97 in 100 of the requests reach a peer with a path
    And no peer gets more than 4 times its share

    Examples:
      | count | cut | where             |
      | 9     | 1   | anywhere          |
      | 9     | 5   | anywhere          |
      | 93    | 24  | one zone first    |
      | 93    | 60  | one zone first    |
      | 200   | 50  | one zone first    |
      | 200   | 150 | one zone first    |
