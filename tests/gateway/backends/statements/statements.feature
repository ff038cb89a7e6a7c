@gateway
Feature: What a backend server states of itself counts in every answer

  # Guards against a pause that is lost with an answer that its request does not use.
  Scenario Outline: A backend server asks for a pause in a refusal that comes <moment>
    Given a backend server whose refusal asks for a pause and comes <moment>
    When a caller sends "<path>", and others send "/look/2" from 0.5 s after it
    Then the backend server gets 1 request

    Examples:
      | moment                                      | path    |
      | at the deadline that it was given           | /buy/1  |
      | at the deadline that it was given           | /look/1 |
      | together with the caller's leaving          | /look/1 |
      | together with the caller's leaving          | /buy/1  |
      | behind an answer to another request         | /look/1 |
      | with the id of another request              | /look/1 |

  Scenario Outline: A backend server states that it leaves in an answer that comes <moment>
    Given a backend server whose answer states that it leaves and comes <moment>
    When a caller sends "/look/1", and others send "/look/2" from 0.5 s after it
    Then the backend server gets 1 request

    Examples:
      | moment                              |
      | at the deadline that it was given   |
      | together with the caller's leaving  |
      | behind an answer to another request |

  # Guards against a request that was waiting for its connection when the pause began.
  Scenario: A request whose connection opens after the pause began is not sent
    Given a backend server that asks for a pause while a second connection opens
    When two callers send "/look/1" and "/look/2" at the same time
    Then the backend server gets 1 request

  # Guards against new work for a backend server that left while a request was waiting for
  # its connection.
  Scenario: A request whose connection opens after the departure is not sent
    Given a backend server that states that it leaves while a second connection opens
    When two callers send "/look/1" and "/look/2" at the same time
    Then the backend server gets 1 request

  # Guards against queries and migrations that ignore a pause.
  Scenario: A leaving backend server in its pause is not queried
    Given a leaving backend server that asked for a pause
    When the gateway learns that it leaves
    Then the backend server gets no further call

  Scenario: A pause asked for in the answer to a query is obeyed
    Given a leaving backend server that answers queries with 503 and a pause
    When the gateway learns that it leaves
    Then the backend server gets 1 query
