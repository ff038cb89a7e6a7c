@state
Feature: Files of a state member

  Scenario: Synced data survives a crash at each sync boundary
    When random batches are written with a crash at each sync boundary
    Then each restart recovers all synced batches and at most a prefix of the next one

  Scenario: A changed byte in a log file is never read as an entry
    When each byte of a log with 20 synced batches is flipped in turn
    Then reading the log fails with path, offset and repair, or returns all entries

  Scenario: A changed byte in a snapshot is detected
    When each byte of a snapshot is flipped in turn
    Then reading the snapshot fails with path, offset and repair

  Scenario: A missing log segment is detected
    Given a log with several segments
    When a segment in the middle is removed
    Then opening fails with an error that contains "are missing"

  Scenario: A full disk leaves the log unchanged
    Given a log with 3 batches
    When writing a batch fails because the disk is full
    Then writing the batch again succeeds once disk space is available

  # Guards against a snapshot writer that ends, and processes that exit, on a full disk.
  Scenario Outline: A full disk is reported as full by each write, which then succeeds
    When <write> is tried 3 times on a disk that is full for each kind of call
    Then it fails only as on a full disk, leaves no part of a file, and then succeeds

    Examples:
      | write                     |
      | a batch                   |
      | a batch in a new segment  |
      | a snapshot                |
      | a received chunk          |
      | a received snapshot       |
      | an initial membership     |
      | the identity of a folder  |

  Scenario: A removed segment that reappears after a crash does not change the log
    Given a log with several segments, some of them removed after a snapshot
    When each of the removed segments in turn reappears after a crash
    Then the log opens with the same entries

  Scenario: A snapshot install that a crash interrupted is completed
    Given a log whose entry 5 conflicts with a snapshot at index 5
    Then the log opens empty and keeps entries written afterwards

  Scenario Outline: A data folder of another <kind> is rejected
    Given a data folder of member "a" in cluster "c"
    When the folder is opened by member "<member>" in cluster "<cluster>"
    Then opening fails with an error that contains "<reason>"

    Examples:
      | kind    | member | cluster | reason     |
      | member  | b      | c       | belongs to |
      | cluster | a      | d       | belongs to |

  Scenario: A data folder that is in use is rejected
    Given a data folder of member "a" in cluster "c"
    When the folder is opened while it is in use
    Then opening fails with an error that contains "in use"

  Scenario Outline: A newer format version is rejected: <file>
    Given a "<file>" file of the next format version
    Then opening fails with an error that contains "newer"

    Examples:
      | file     |
      | log      |
      | snapshot |

  Scenario: Batches are appended even if the system ignores write flags
    Given a log file on disk with a header
    And a system that writes at the given offset regardless of write flags
    When 3 synced batches are appended
    Then the file holds the header and the batches in order
