@control
Feature: Orders to engines

  Scenario Outline: No two effective orders for one engine in any schedule
    Given two control holders that lose the lease, die and are cut off silently
    When 30 seeded schedules run against engines that <engines> fencing numbers
    Then no engine carries out an order that isn't the one open order recorded
    And the lowest number of ready engines never falls below the floor
    And engines reach the desired version once the disturbances end

    Examples:
      | engines |
      | check   |
      | ignore  |

  Scenario: A holder that sends after its lease ended is found out
    Given two control holders that lose the lease, die and are cut off silently
    When the schedules run with holders that ignore the end of their lease
    Then some engine carries out an order that isn't the one open order recorded

  Scenario: Loads are budgeted, urgent services first, same weights apart
    Given 6 empty engines, half of them of an urgent service
    Then urgent engines load first and at most 2 load at a time
    And loads of the same weights start at least 5 s apart
    And one load at a time is kept for urgent services

  Scenario: Refused loads are tried again later and later, with jitter
    Given 6 empty engines, half of them of an urgent service
    Then refused weights wait 2 s, 4 s, 8 s, and up to 2 min, within a quarter

  Scenario: Adapters, roles and replaced versions are brought to the settings
    Then an engine gets its role, model, adapter and then loses the old version
    And settings with model services give the desired state of their engines

  Scenario: No order is sent while one that is closed may still arrive
    Given an order that was sent a second time after a lost answer
    When the engine shows its outcome before the second send has ended
    Then the next order is sent only after that send's time is over
