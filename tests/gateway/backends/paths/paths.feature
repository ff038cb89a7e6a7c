@gateway
Feature: Gateways without a path to backend servers serve their callers through peers

  # Guards against gateways that refuse all callers while their peers reach the engines.
  Scenario Outline: Callers of <cut> of 6 gateways whose paths to all engines are cut (<how>)
    Given 6 gateways and 4 engines on a network
    When <cut> gateways lose their paths to all engines for 8 s (<how>)
    Then from 3 s on at least 95 in 100 first attempts at them are served
    And at least 95 in 100 first attempts at the others are served meanwhile
    And no purchase runs twice, and none that is refused with 503 runs

    Examples:
      | cut | how     |
      | 1   | silent  |
      | 1   | reset   |
      | 1   | refused |
      | 5   | silent  |
      | 5   | reset   |
      | 5   | refused |

  # Guards against callers that keep using a detour, or backoffs, after the cut has ended.
  Scenario Outline: Gateways use their own paths again after a cut (<how>)
    Given 6 gateways and 4 engines on a network
    When 2 gateways lose their paths to all engines for 4 s (<how>)
    Then from 2 s after the cut on they send all requests to engines themselves

    Examples:
      | how     |
      | silent  |
      | refused |

  # Guards against crashes that a gateway believes to have seen while it is cut off.
  Scenario: Engines that a gateway does not reach are not taken for crashed
    Given 6 gateways and 4 engines on a network
    When 2 gateways lose their paths to all engines for 4 s (reset)
    Then no gateway has evidence of a crash

  # Guards against a gateway that learns only from its own traffic that it is cut off.
  Scenario: A gateway that restarts while it is cut off serves its callers
    Given 6 gateways and 4 engines on a network
    When 2 gateways lose their paths to all engines for 9 s (silent) and restart
    Then from 5 s on at least 95 in 100 first attempts at them are served

  # Guards against detours that end at a gateway that is stopping, or has been killed.
  Scenario: Peers that serve for gateways without paths are killed in turn
    Given 6 gateways and 4 engines on a network
    When 3 gateways are cut off for 9 s (refused) while two others are killed in turn
    Then from 3 s on at least 85 in 100 first attempts at them are served
    And no purchase runs twice, and none that is refused with 503 runs

  # Guards against an engine that works on for a caller who left a gateway on a detour.
  Scenario: An engine stops when the caller of a gateway without a path leaves
    Given 6 gateways and 4 engines on a network
    When a caller leaves its stream at a gateway that is cut off
    Then the engine writes at most 0.5 s of events after that

  # Guards against waiting to the deadline where no gateway has a path.
  Scenario: Callers are refused at once when no gateway reaches an engine
    Given 6 gateways and 4 engines on a network
    When all gateways lose their paths to all engines for 6 s (silent)
    Then from 3 s on each first attempt gets 503 within 0.6 s
