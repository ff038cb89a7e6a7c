@control
Feature: Reclaim notices reach entry processes through the control process

  Scenario: A host that does not announce its reclaim gets no new requests
    Given two control processes, an entry host, a cloud and 2 seat services
    When the cloud API reports a reclaim that the first service does not announce
    Then the entry host receives the notice
    And 30 lookups are sent to the second service only
    When the active control process stops and the second host is reclaimed too
    Then the entry host has both notices
    And no capacity is planned by a control process without an announcement listener

  Scenario: Invalid responses of the cloud API are ignored or become errors
    Given a cloud API that sends arbitrary responses
    Then each response becomes notices or an error, and no exception is raised
