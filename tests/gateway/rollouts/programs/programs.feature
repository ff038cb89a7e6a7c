@gateway
Feature: Orders for rollouts at gateway processes

  # Guards against rollouts beside gateways of the previous release, which send requests to
  # all versions, and against one that never begins after they have been replaced.
  Scenario: No rollout begins while a gateway of the previous release is present
    Given 4 gateway processes with rollouts, of which h4 runs the previous release
    When v2 is ordered in 6 s at h1
    Then the answer is 503, and there is no order
    When h4 is replaced by this release
    And v2 is ordered in 6 s at h4 within 10 s
    Then the answer is 200

  # Guards against accepted orders that are lost with processes and disks.
  Scenario Outline: An accepted order survives that all processes are killed <and more>
    Given 4 gateway processes with rollouts, of which none runs the previous release
    When v2 is ordered in 25 s at h2 within 10 s
    And all processes are killed just then, <and more>, and started again
    Then each gateway reports within 15 s that the rollout of v2 is active
    And a repeat of the order is answered with 200, and another order with 409
    And without backend servers of v2 it is rolled back when 25 s have passed

    Examples:
      | and more              |
      | with no disk lost     |
      | with the disk of h1 lost |
