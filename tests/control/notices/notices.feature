@control
Feature: Reclaim notices reach entry processes over the control process

  Scenario: A host that does not tell of its reclaim gets no new work
    Given two control processes, an entry host, a cloud and 2 seat services
    When the cloud gives notice for the first service, which says nothing itself
    Then the entry host knows of the reclaim
    And 30 lookups go to the second service only
    When the active control process stops and the cloud gives a second notice
    Then the entry host knows of both

  Scenario: Answers of the cloud that make no sense are passed over
    Given a cloud API that answers anything
    Then each answer gives notices or an error, and no other failure
