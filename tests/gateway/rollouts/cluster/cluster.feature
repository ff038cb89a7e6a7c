@gateway
Feature: Rollouts over several gateways

  # Guards against bad versions that are completed or exposed beyond the bound, and good ones
  # that are rolled back, also when the process that controls the rollout is lost.
  Scenario Outline: A version whose responses are <quality>, while <event>
    Given 4 gateways with rollouts and backend servers of v1
    When v2, whose responses are <quality>, is ordered in <duration> s, and 4 s later <event>
    Then the rollout is <state> in time
    And the exposure of v2 is within its bound
    And no request runs on a version that is not allowed
    And at least <served> of the requests are served

    Examples:
      | quality        | event                      | duration | state       | served |
      | good           | nothing happens            | 8        | completed   | 0.995  |
      | good           | the holder is killed       | 12       | completed   | 0.98   |
      | good           | all gateways are restarted | 12       | completed   | 0.9    |
      | failing        | nothing happens            | 8        | rolled_back | 0.95   |
      | failing        | the holder is killed       | 12       | rolled_back | 0.95   |
      | failing        | all gateways are restarted | 12       | rolled_back | 0.9    |
      | slow           | nothing happens            | 8        | rolled_back | 0.95   |
      | failing later  | the holder is killed       | 12       | rolled_back | 0.95   |
      | slow to buy    | nothing happens            | 8        | rolled_back | 0.95   |

  # Guards against decisions that come late since each of them waits for syncs.
  Scenario Outline: Disks are slow, and a version whose responses are <quality> is ordered
    Given 4 gateways with rollouts, slow disks and backend servers of v1
    When v2, whose responses are <quality>, is ordered in 12 s, and 4 s later <event>
    Then the rollout is <state> in time
    And the exposure of v2 is within its bound
    And no request runs on a version that is not allowed
    And at least <served> of the requests are served

    Examples:
      | quality | event                | state       | served |
      | good    | the holder is killed | completed   | 0.98   |
      | failing | the holder is killed | rolled_back | 0.95   |

  # Guards against a gateway that uses the target since it has not heard of the order.
  Scenario: A gateway that is cut off uses the old version only
    Given 4 gateways with rollouts and backend servers of v1
    And g4 is cut off from its peers
    When v2, whose responses are good, is ordered in 8 s, and 4 s later nothing happens
    Then the rollout is completed in time
    And v1 got requests of g1,g2,g3,g4, and v2 of g1,g2,g3

  # Guards against requests that must not run twice and are cut with the old version.
  Scenario: Long requests of the old version are finished before it stops
    Given 4 gateways with rollouts and backend servers of v1
    When v2 is ordered in 10 s while purchases take 1.5 s each
    Then the rollout is completed in time
    And each purchase ran once, and was answered or got 502
    And less than 0.05 of the requests are not answered

  # Guards against calls whose status makes an operator give up or repeat them wrongly.
  Scenario Outline: <call> is answered with <status>
    Given 4 gateways with rollouts and backend servers of v1
    Then these calls are answered
      | method | path               | body                                               | status |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "v2"                 | 400    |
      | POST   | /v1/rollouts       | []                                                 | 400    |
      | POST   | /v1/rollouts       | {"service": "desk", "duration_s": 5}               | 400    |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "", "duration_s": 5} | 400    |
      | POST   | /v1/rollouts       | {"service": 7, "target": "v2", "duration_s": 5}    | 400    |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "v2", "duration_s": 0} | 400  |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "v2", "duration_s": -1} | 400 |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "v2", "duration_s": true} | 400 |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "v2", "duration_s": "5"} | 400 |
      | POST   | /v1/rollouts       | {"service": "shelf", "target": "v2", "duration_s": 5} | 422 |
      | PUT    | /v1/rollouts       |                                                    | 405    |
      | GET    | /v1/rollouts/desk  |                                                    | 404    |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "v2", "duration_s": 60} | 200 |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "v2", "duration_s": 60} | 200 |
      | POST   | /v1/rollouts       | {"service": "desk", "target": "v3", "duration_s": 60} | 409 |
      | GET    | /v1/rollouts/desk  |                                                    | 200    |
    And without a majority of the state group, orders and reads are answered with 503

    Examples:
      | call   | status         |
      | a call | its own status |

  # Guards against rollouts beside gateways that do not obey permissions, and against changes
  # for deployments without them.
  Scenario Outline: Nothing begins while <gateways> without rollouts in their settings
    Given 4 gateways of which <gateways> have no rollouts, and backend servers of v1
    When v2 is ordered
    Then the order is answered with <status>, and all requests run on v1
    And digests of gateways without rollouts say nothing of them

    Examples:
      | gateways      | status |
      | g4            | 503    |
      | g2            | 503    |
      | g1,g2,g3,g4   | 404    |
