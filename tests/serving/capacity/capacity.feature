@control
Feature: Planning of hosts

  Scenario: The cheapest allocation meets the need after the loss of any one zone
    Then for generated needs and prices it costs as much as the best of all selections
    And it stays within the limits of hosts and on-demand hosts

  Scenario: Hosts are spread over cheap zones and a rising need is met at once
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    Then 4 hosts are ready, all reclaimable, at most 1 in a zone
    When the need rises to 40 slots and 2 min pass
    Then 40 slots are ready without any one zone

  Scenario: Two zones are reclaimed within a minute while all starts are refused
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    And zones "a" and "b" are reclaimed a minute apart while starts are refused
    Then at most 60 starts were attempted in those 10 min, with growing pauses
    And within 6 min after the refusals 20 slots are ready without any one zone

  Scenario: On-demand hosts replace refused reclaimable ones and are released later
    Given a need of 20 slots that must survive the loss of one zone
    When reclaimable starts are refused for 10 min from the beginning
    Then 2 on-demand hosts are ready
    When 30 min pass
    Then 4 hosts are ready, all reclaimable, at most 1 in a zone

  Scenario: Scale-in waits for its delay, drains first and keeps the need met
    Given a need of 40 slots that must survive the loss of one zone
    When 2 min pass
    And the need falls to 8 slots for 9 min and back
    Then no host was drained
    When the need falls to 8 slots for 20 min with requests still running
    Then hosts were drained but none was stopped
    When the running requests end
    Then the drained hosts are stopped and 8 slots are ready without any one zone

  Scenario: Only a lasting price increase replaces hosts, one at a time
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    And prices in zone "a" are tenfold for 100 s
    Then nothing was started or drained since
    When prices in zone "a" are tenfold for 30 min
    Then zone "a" has no host left and 20 slots were always ready

  Scenario: The on-demand-only and scale-in-at-once policies serve as baselines
    Then on-demand only holds no reclaimable host and costs more
    And scale-in at once drains at once

  Scenario: Demand is the highest load of the window and late answers raise it
    Then load, window and latency determine the need of urgent and patient services
