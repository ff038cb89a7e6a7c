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

  # Guards against a restarted gateway that takes the version left for the only one.
  Scenario: Versions that a peer reports before the configuration arrives are kept
    Given a gateway that has started at 30 s without a configuration
    When a peer reports at 31 s that "v1" was seen at 28 s and "v2" at 31 s, all known
    And versions expire at 32 s, and streams turn out to live 20 s
    And engines of "v2" are seen at 33 s
    Then at 33 s no version is the sole one, and the streams to send are ""
    And at 49 s "v2" is the sole version, and the streams to send are ""

  # Guards against a version that was forgotten under shorter timeouts.
  Scenario: When streams live longer, versions that were forgotten are not left out
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When only engines of "v2" are seen from 30 to 51 s
    And streams turn out to live 40 s at 52 s
    Then at 53 s no version is the sole one, and the streams to send are ""
    And at 71 s "v2" is the sole version, and the streams to send are ""

  # Guards against a wall clock that is wrong after a restart: a version whose streams
  # may still run must not count as old.
  Scenario Outline: Versions of before a restart with a clock off by <off_s> s
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When engines of "v2" are seen at 46 s
    And a gateway saves at 46 s, restarts at 49 s, its clock off by <off_s> s
    Then at 49 s <sole> is the sole version there

    Examples:
      | off_s | sole |
      | 0     | none |
      | 6     | none |
      | -2    | none |
      | -6    | none |

  # Guards against a gateway that was down while its peers saw another version.
  Scenario: A restarted gateway has peers confirm what it saved, as long as streams live
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When a gateway saves at 30 s, restarts at 35 s, its clock off by 0 s
    Then at 35 s none is the sole version there
    And at 38 s "v1" is the sole version there
    And at 38 s it asks its peers before it relies on that
    And at 56 s it relies on what it saw

  # Guards against streams of a version that no disk has when all gateways are killed.
  Scenario Outline: New streams begin at a version once disks have it
    Given streams that live 20 s, and engines of "v1" from 0 s on
    When engines of "v1,v2" are seen from 30 to <now_s> s
    Then at <now_s> s new streams begin at "<settled>"

    Examples:
      | now_s | settled |
      | 30    | v1      |
      | 32    | v1      |
      | 33.5  | v1,v2   |

  Scenario: At the start of a gateway no version is settled
    Given a gateway that has started at 30 s without a configuration
    When engines of "v1,v2" are seen from 30.5 to 31 s
    Then at 31 s new streams begin at ""

  # Guards against streams joined from two versions in any order of releases, kills,
  # lost saves, wrong clocks and late announcements.
  Scenario: No stream goes on at another version in 40 schedules
    When schedules 0 to 39 of releases, kills and restarts run
    Then no stream went on at another version
    And at least half of the streams that were taken up went on

  Scenario Outline: Schedules find gateways that <fault>
    When schedules 0 to <last> run until gateways that <fault> are found
    Then a stream went on at another version

    Examples:
      | fault                                     | last |
      | rely on what they saved before a restart  | 99   |
      | drop versions before they are configured  | 99   |

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
