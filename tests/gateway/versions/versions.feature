@gateway
Feature: A stream goes on only at the software version that began it

  # Guards against gateways that retry a broken stream at an engine of another version.
  Scenario Outline: Streams whose engines crash go on at engines of their version: <versions>
    Given 6 gateways and engines of versions <versions>
    When 40 streams begin and <crashes> engines crash while they run
    Then no stream has events of two versions
    And at least <share> of the streams that callers took up go on
    And at least <whole> streams are whole

    Examples: versions side by side
      | versions                  | crashes | share | whole |
      | v1,v1,v1,v2,v2,v2         | 2       | 0.8   | 38    |
      | v1,v1,v1,v2,v2,v3,v3,v3   | 3       | 0.8   | 36    |
      | v1,v1,v1,v1               | 2       | 0.9   | 40    |

  # Guards against a gateway that does not know where the attempt in Resumes ran.
  Scenario Outline: Streams of <killed> are taken up at <taken_up_at>
    Given 6 gateways and engines of versions <versions>
    When 40 streams run and <killed> are killed, restart, and callers ask <taken_up_at>
    Then no stream has events of two versions
    And at least <share> of the streams that callers took up go on
    And at least <share> of all streams are whole

    Examples: two versions
      | versions          | killed       | taken_up_at            | share |
      | v1,v1,v1,v2,v2,v2 | one gateway  | other gateways         | 0.9   |
      | v1,v1,v1,v2,v2,v2 | one gateway  | the restarted gateway  | 0.9   |
      | v1,v1,v1,v2,v2,v2 | four gateways | any gateway           | 0.9   |
      | v1,v1,v1,v2,v2,v2 | all gateways | any gateway            | 0.5   |
      | v1,v1,v2,v2,v3,v3 | all gateways | any gateway            | 0.5   |

    Examples: one version
      | versions    | killed       | taken_up_at    | share |
      | v1,v1,v1,v1 | one gateway  | other gateways | 0.9   |
      | v1,v1,v1,v1 | all gateways | any gateway    | 0.9   |

  # Guards against a release that begins while streams of the old version run.
  Scenario Outline: A release <how> while streams run does not mix versions
    Given 6 gateways and engines of versions v1,v1,v1,v1, released <how>
    When 40 streams run and half of the engines become v2 while a gateway is killed
    Then no stream has events of two versions
    And at least 0.8 of the streams that callers took up go on

    Examples: ways to start
      | how                           |
      | under new ids                 |
      | under the same id and address |

  # Guards against a request that waits to its deadline although nothing can serve it.
  Scenario: A stream whose version has no engine left gets a clear error at once
    Given 4 gateways and engines of versions v1,v2,v2
    When a stream of v1 is taken up after its engine has ended
    Then each attempt to take it up gets 503 within 0.5 s, which names version v1
    And no stream has events of two versions

  Scenario: A stream of an attempt that no gateway knows is not guessed
    Given 4 gateways and engines of versions v1,v1,v2,v2
    When a caller takes up a stream of an unknown attempt
    Then it gets 503 with Retry-After and no event

  # Guards against a restarted gateway that takes the version left for the only one.
  Scenario: A stream whose caller names no attempt is not continued at a guess
    Given 4 gateways and engines of versions v1,v2
    When the engine of v1 ends, a gateway without a disk restarts, and a caller takes up a stream there without naming its attempt
    Then it gets 503 with Retry-After and no event

  # Guards against streams of a version that no disk has when all gateways are killed.
  Scenario: All gateways lose power right after engines of a new version have joined
    Given 6 gateways and engines of versions v1,v1,v1,v1,v1,v1
    When three engines become v2, 60 streams begin, and all gateways lose power 0.7 s later
    Then no stream has events of two versions

  # Guards against a gateway that wakes up and takes the version that it knew for the only
  # one, although another version joined meanwhile.
  Scenario Outline: A gateway that <circumstance> does not rely on the versions it knew
    Given a gateway that has known the only version of its engines for long
    When a stream is taken up there
    Then it goes on
    When the gateway <circumstance> and one is taken up
    Then it is refused with 503

    Examples:
      | circumstance                             |
      | has just woken up after 4 s              |
      | has been without its peers for a minute  |
