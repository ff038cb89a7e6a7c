@requests
Feature: Calls to backend servers say exactly what left and what came

  Scenario Outline: An answer that is not whole is no answer
    Given a backend server that answers "<answer>"
    Then a call that may be repeated is broken
    And a call that may not be repeated is broken

    Examples:
      | answer          |
      | too large       |
      | cut short       |
      | nothing         |
      | not HTTP        |

  Scenario: A refused connection and an ended permission send nothing
    Given a backend server that answers "whole"
    Then a call without permission sends nothing and the server sees no byte
    And a call to a closed port sends nothing
    And a whole answer comes as it was sent
