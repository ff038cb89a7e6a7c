@gateway
Feature: UDP sockets that are read when polled

  # Guards against a wake-up of the event loop for each of a hundred datagrams a second.
  Scenario: Datagrams are passed on at the next poll, all together and in order
    Given a polled socket and a sender
    When 30 datagrams arrive
    Then the event loop has nothing to do, and no datagram was passed on
    And the next poll passes on datagrams 1 to 30

  Scenario: A poll reads a bounded number of datagrams
    Given a polled socket and a sender
    When 100 datagrams arrive
    Then the next poll passes on datagrams 1 to 64
    And the next poll passes on datagrams 65 to 100

  # Guards against updates that are lost for the last of 200 recipients.
  Scenario: Datagrams without space in the buffer are sent at the next poll, in order
    Given a polled socket and a sender
    When the sender has space for 3 of 10 datagrams
    Then the next poll passes on datagrams 1 to 3
    When the sender has space again
    Then the next poll passes on datagrams 4 to 10

  Scenario: A rejected datagram does not stop the next ones
    Given a polled socket and a sender
    When the sender's datagrams to a closed port are rejected
    Then it still receives what is sent to it

  Scenario: A closed socket drops what is sent
    Given a polled socket and a sender
    When both are closed
    Then sending and polling have no effect
