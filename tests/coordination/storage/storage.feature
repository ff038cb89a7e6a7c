@state
Feature: Files of a state member

  Scenario: What was synced survives a crash at each sync boundary
    When random batches are written with a crash at each sync boundary
    Then each restart holds all synced batches and no part of an unknown one

  Scenario: A flipped byte in a log file is never taken for data
    When any byte of a log with 20 synced batches is flipped
    Then the log is refused with file, offset and repair, or nothing is missing

  Scenario: A flipped byte in a snapshot is refused
    When any byte of a snapshot is flipped
    Then the snapshot is refused with file, offset and repair

  Scenario: A missing log file is refused
    Given a log of several files
    When a file in the middle is removed
    Then opening it is refused because "are missing"

  Scenario: A full disk leaves the log as it was
    Given a log with 3 batches
    When a batch does not fit on the disk
    Then writing it again succeeds once there is room

  Scenario: A removal that a crash undid does no harm
    Given a log of several files behind a snapshot
    When any one of the removed files comes back after a crash
    Then the log opens with the same entries

  Scenario: An install that a crash cut short is finished
    Given a log whose entry 5 conflicts with a snapshot up to 5
    Then the log opens empty, and what is written after it stays

  Scenario Outline: A folder of another <kind> is refused
    Given a data folder of member "a" in cluster "c"
    When it is opened by member "<member>" in cluster "<cluster>"
    Then opening it is refused because "<reason>"

    Examples:
      | kind    | member | cluster | reason     |
      | member  | b      | c       | belongs to |
      | cluster | a      | d       | belongs to |

  Scenario: A folder that is in use is refused
    Given a data folder of member "a" in cluster "c"
    When it is opened while it is in use
    Then opening it is refused because "in use"

  Scenario Outline: A newer format is refused: <file>
    Given a "<file>" file of the next format version
    Then opening it is refused because "newer"

    Examples:
      | file     |
      | log      |
      | snapshot |

  Scenario: Batches are added at the end, also where a system ignores write flags
    Given a log file on disk with a header
    And a system that writes at the given offset whatever the flags say
    When 3 synced batches are added
    Then the file holds the header and the batches in order
