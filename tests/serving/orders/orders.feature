@control
Feature: Orders to engines

  Scenario Outline: No engine executes two competing orders in any schedule
    Given two control holders that lose the lease, crash and get isolated
    When 30 seeded schedules run against engines that <engines> fencing numbers
    Then no engine executes an order other than its recorded open order
    And at least one engine is ready at any time
    And engines reach the desired version once the faults end

    Examples:
      | engines |
      | check   |
      | ignore  |

  Scenario: A holder that sends after its lease ended (injected defect) is detected
    Given two control holders that lose the lease, crash and get isolated
    When the schedules run with holders that ignore the end of their lease
    Then some engine executes an order other than its recorded open order

  Scenario: Loads are limited, spaced in time and ordered by the priority of the service
    Given 6 empty engines, half of them of an urgent service
    Then engines of the urgent service load first and at most 2 engines load at a time
    And loads of the same weights start at least 5 s apart
    And one concurrent load is reserved for urgent services

  Scenario: Failed loads are retried with exponential backoff and jitter
    Given 6 empty engines, half of them of an urgent service
    Then weights that failed to load pause 2 s, 4 s, 8 s, up to 2 min, with 25% jitter

  Scenario: Orders set the role, models, adapters and versions that settings define
    Then an engine gets its role, model and adapter and then unloads the old version
    And settings with model services determine the desired state of their engines

  Scenario: No order is sent while a send of a closed order may still arrive
    Given an order that was sent a second time after its first response was lost
    When the engine reports the outcome of the order before the second send has ended
    Then the next order is sent only after the second send has ended
