@serving
Feature: At which software version a stream began

  Scenario: While all engines have one version, no origin is sent to peers
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When stream "a" begins at "v1" at 30 s
    Then at 30 s "v1" is the sole version, and the streams to send are ""

  Scenario: Until all versions are known, origins are sent to peers
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When stream "a" begins at "v1" at 10 s
    Then at 10 s no version is the sole one, and the streams to send are "a"

  # Guards against streams that began before a second version joined.
  Scenario: When a second version joins, the streams that run are sent to peers
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When stream "a" begins at "v1" at 30 s
    And stream "b" begins at "v1" at 31 s
    And engines of "v2" are seen at 32 s
    Then at 32 s no version is the sole one, and the streams to send are "a,b"

  # Guards against a first stream of a version that is not known to have joined.
  Scenario: A stream of a version that was not seen before is sent to peers
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When stream "a" begins at "v2" at 30 s
    Then at 30 s no version is the sole one, and the streams to send are "a"

  Scenario: Streams of a route with several services are sent to peers
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When stream "a" begins at "v1" at 30 s, on a route with another service
    Then at 30 s "v1" is the sole version, and the streams to send are "a"

  Scenario: A gateway that was alone does not rely on the versions that it saw
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When the gateway may have missed versions until 30 s
    Then at 40 s no version is the sole one, and the streams to send are ""
    And at 51 s "v1" is the sole version, and the streams to send are ""

  # Guards against a second version that is known from a peer before its announcement.
  Scenario: When a peer has seen a second version, the streams that run are sent too
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When stream "a" begins at "v1" at 30 s
    And a peer reports that engines of "v2" were seen at 31 s
    And engines of "v2" are seen at 32 s
    Then at 32 s no version is the sole one, and the streams to send are "a"

  Scenario: The old version is forgotten once no stream of it can run
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When engines of "v2" are seen at 30 s
    And only engines of "v2" are seen from 30 to 51 s
    Then at 51 s "v2" is the sole version, and the streams to send are ""

  Scenario: A gateway that has just started learns from a peer which versions there were
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When a gateway starts at 30 s and hears from this one
    Then at 30 s "v1" is the sole version there

  # Guards against origins that are lost with the gateways that a kill takes at once.
  Scenario Outline: With <count> gateways of which half are killed, origins survive
    Given <count> gateways, each with a stream
    When <killed> of them are killed at once
    Then at least <share> of the streams have a holder left, and none has over <holders>

    Examples:
      | count | killed | share | holders |
      | 9     | 5      | 1.0   | 8       |
      | 93    | 51     | 0.97  | 6       |
      | 380   | 209    | 0.97  | 6       |
