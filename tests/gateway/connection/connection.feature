@gateway
Feature: Ends of TCP connections

  # Guards against a reset that the writing side consumes, so that the reading side takes
  # what came before for a whole message.
  Scenario Outline: A reset is not read as the end of a message when <first>
    Given a connection whose peer has sent <size> bytes and then reset it
    When <first>
    Then what is read ends with an error, at each of 20 repetitions

    Examples:
      | size  | first                                    |
      | 100   | nothing is written                       |
      | 100   | a byte is written before the first read  |
      | 100   | two writes fail before the first read    |
      | 100   | a large body is written, then read       |
      | 100   | reading waits while a body is written    |
      | 100   | writing ends before the first read       |
      | 60000 | a byte is written before the first read  |
      | 60000 | a large body is written, then read       |
      | 60000 | reading waits while a body is written    |

  # Guards against a response that this side gives up and then takes for a whole one.
  Scenario Outline: A connection that this side <ends> is not read as ended by the peer
    Given a connection whose peer has sent 100 bytes and waits
    When this side <ends> the connection
    Then what is read ends with an error, at each of 20 repetitions

    Examples:
      | ends   |
      | aborts |
      | closes |

  Scenario: An orderly close by the peer is read as the end of its message
    Given a connection whose peer has sent 100 bytes and closed it
    When nothing is written
    Then what is read ends in order, at each of 20 repetitions
