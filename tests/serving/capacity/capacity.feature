@control
Feature: Planning of hosts

  Scenario: The cheapest allocation meets the need after the loss of any one zone
    Then for generated needs and prices the allocation costs as much as the cheapest one
    And the allocation stays within the limits of hosts and on-demand hosts

  Scenario: Hosts are spread over cheap zones and a rising need is met at once
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    Then 4 hosts are ready, all reclaimable, at most 1 in a zone
    When the need rises to 40 slots and 2 min pass
    Then 40 slots are ready without the largest zone

  Scenario: Two zones are reclaimed within a minute while all starts are refused
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    And zones "a" and "b" are reclaimed a minute apart while starts are refused
    Then at most 60 starts were attempted in those 10 min, with growing pauses
    And within 6 min after the refusals 20 slots are ready without the largest zone

  Scenario: On-demand hosts replace refused reclaimable hosts and are released later
    Given a need of 20 slots that must survive the loss of one zone
    When reclaimable starts are refused for 10 min from the beginning
    Then 2 on-demand hosts are ready
    When 30 min pass
    Then 4 hosts are ready, all reclaimable, at most 1 in a zone

  Scenario: Unneeded hosts are drained after a delay and stopped when they are idle
    Given a need of 40 slots that must survive the loss of one zone
    When 2 min pass
    And the need falls to 8 slots for 9 min and rises again
    Then no host was drained
    When the need falls to 8 slots for 20 min with requests still running
    Then hosts were drained but none was stopped
    When the running requests end
    Then the drained hosts are stopped and 8 slots are ready without the largest zone

  Scenario: Only a lasting price increase replaces hosts, one at a time
    Given a need of 20 slots that must survive the loss of one zone
    When 2 min pass
    And prices in zone "a" are tenfold for 100 s
    Then no host was started or drained since the price increase
    When prices in zone "a" are tenfold for 30 min
    Then zone "a" has no host left and at least 20 slots were always ready

  Scenario: The on-demand-only and scale-in-at-once policies serve as baselines
    Then the on-demand-only policy holds no reclaimable host and costs more
    And the scale-in-at-once policy drains unneeded hosts without a delay

  Scenario: Demand is the highest load of the window, raised by late responses
    Then load, window and latency determine the need of urgent and low-priority services
