@gateway
Feature: Digests that gateways exchange a few times per second

  Scenario: Digests of a large deployment take a bounded fraction of a core
    Given a gateway with 92 peers that know 105 backend servers
    When the 120 digests of one second arrive
    Then processing them takes fewer operations than a core does in 31 ms
    And with 1050 backend servers it takes at most 2 times as many

  Scenario: Recent report windows are in every digest, older ones in some
    Given a gateway that counted requests in 6 consecutive windows
    Then its digests report 2, 2, 2 and 4 windows, the current one always

  Scenario: A peer's registry is fetched only if it differs
    Given a gateway with 92 peers that know 105 backend servers
    When digests arrive from peers with the same registry
    Then no registry is fetched
    When a peer has another backend server in its registry
    Then the registry is fetched once in 0.5 s

  # Guards against gateways that fetch each other's registries all the time while
  # backend servers come and go: digests on their way are older than the last change.
  Scenario: While backend servers come and go, registries are not fetched all the time
    Given a gateway with 92 peers that know 105 backend servers
    When a backend server joins each 0.4 s for 9 s, and peers report the state before
    Then the registry is fetched at most 4 times
    When no backend server joins for 2 s, and peers still report another registry
    Then the registry is fetched again

  # Guards against a gateway with little traffic that does not know which engines are slow.
  Scenario: Measured speeds reach the other gateways in digests of bounded size
    Given a gateway with 3 peers that know 60 backend servers
    When it has measured that "i-00000002" takes 3 times as long as the others
    Then each digest has at most 8 speeds, in at most 110 bytes
    And a peer without requests knows after 8 digests that "i-00000002" takes at least 2 times as long
    And a peer ignores the speed of an earlier start of "i-00000002"

  # Guards against digests that grow where no engine reports its speed.
  Scenario: Digests have no speeds of services without reported speeds
    Given a gateway with 3 peers that know 60 backend servers
    When it gets responses of engines that report three figures
    Then its digests have no speeds

  # Guards against gateways that are told of a configuration a second late, since the
  # digest that is being sent to them was made before it.
  Scenario: A digest states what is in force as of its sending
    Given a gateway with 3 peers that know 60 backend servers
    When it makes a digest, adopts a configuration, begins to drain, and a backend server leaves
    Then the digest states all three when it is sent
