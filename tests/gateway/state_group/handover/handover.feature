@gateway
Feature: Voters of the state group that hand over their places before they stop

  Scenario: All hosts are replaced, beside kills, lost disks and cuts, by both builds
    Then in 60 seeded replacements the group keeps a majority and serves in the end

  Scenario Outline: A planted fault is found within 100 seeds: <fault>
    Then <fault> makes a seeded replacement fail

    Examples:
      | fault                                                    |
      | a leader that ignores draining voters                    |
      | a stop that does not wait                                |
      | a voter that leaves the leadership to a leader of before |

  Scenario Outline: A voter that was told to stop ends: <case>
    Given voters "<voters>", of which "<lost>" are lost and "<draining>" drain
    When "a" was told to stop <spare> spare
    Then "a" <outcome>

    Examples:
      | case                        | voters  | lost | draining | spare   | outcome   |
      | it was replaced             | b,c,d   |      | a        | with a  | may end   |
      | a spare can replace it      | a,b,c   |      | a        | with a  | has to stay |
      | no spare is there           | a,b,c   |      | a        | without | may end   |
      | another voter is lost       | a,b,c   | b    | a        | without | has to stay |
      | it is the first of two      | a,b,c   |      | a,b      | without | may end   |
      | its removal is due          | a,b,c,d |      | a        | without | has to stay |

  # Guards against the loss of the majority when voters stop faster than they are replaced.
  Scenario Outline: Replacing the hosts with a disk loses no configuration: <pace>
    Given 4 gateway processes with a disk, and 4 that join after a configuration
    When the first 4 get SIGTERM <pace>
    Then each exits with code 0 within its grace period
    And the configuration is read at the others, and the next one is accepted

    Examples:
      | pace                                   |
      | each after the one before has ended    |
      | all at once                            |
