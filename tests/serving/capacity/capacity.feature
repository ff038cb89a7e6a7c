@control
Feature: Which hosts to hold

  Scenario: The cheapest allocation meets the need through any one zone's loss
    Then for generated needs and prices it costs what the best of all sets costs
    And it stays within the bounds on hosts and on-demand hosts

  Scenario: A need is met with cheap zones spread, and rises at once
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    Then 4 hosts are ready, all reclaimable, at most 1 in a zone
    When the need rises to 40 slots and 2 min pass
    Then 40 slots are ready without any one zone

  Scenario: Two zones taken in one minute while all starts are refused for ten
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    And zones "a" and "b" are taken a minute apart while starts are refused
    Then at most 60 starts were tried in those 10 min, each later than the last
    And within 6 min after the refusals 20 slots are ready without any one zone

  Scenario: On-demand hosts bridge refused reclaimable ones and are given back
    Given a need of 20 slots that must survive the loss of one zone
    When reclaimable starts are refused for 10 min from the beginning
    Then 2 on-demand hosts are ready
    When 30 min pass
    Then 4 hosts are ready, all reclaimable, at most 1 in a zone

  Scenario: Scale-in waits a steady time, drains first and keeps the need
    Given a need of 40 slots that must survive the loss of one zone
    When 2 min pass
    And the need falls to 8 slots for 9 min and back
    Then no host was drained
    When the need falls to 8 slots for 20 min with requests still running
    Then hosts were drained but none was stopped
    When the running requests end
    Then the drained hosts are stopped and 8 slots are ready without any one zone

  Scenario: A price spike moves nothing until it lasts, then one host at a time
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    And prices in zone "a" are tenfold for 100 s
    Then nothing was started or drained since
    When prices in zone "a" are tenfold for 30 min
    Then zone "a" has no host left and 20 slots never were missing

  Scenario: Baselines are kept for comparison
    Then on-demand only holds no reclaimable host and costs more
    And scale-in at once drains at once

  Scenario: Demand is the highest of the window and late answers raise it
    Then load, window and latency give the need of urgent and patient services
