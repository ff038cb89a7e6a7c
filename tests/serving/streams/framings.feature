@requests
Feature: Which responses may end with their connection alone

  # Guards against a response whose end nothing can show, since it was not expected.
  Scenario Outline: After responses <seen>, the next one <needs> a witness
    Given responses delimited by <seen>
    Then the next response of that kind <needs> a witness

    Examples:
      | seen                 | needs      |
      | nothing              | needs      |
      | length               | needs not  |
      | chunked              | needs not  |
      | close                | needs      |
      | length, close        | needs      |
      | close, length        | needs      |
      | length, close, close | needs      |

  Scenario: Kinds are told apart by service, software version and route
    Given responses delimited by length
    Then a response of another service, version or route needs a witness

  Scenario Outline: After reports that state <stated>, an unframed response <needs> a witness
    Given responses delimited by close
    And reports that state <stated>
    Then the next response of that kind <needs> a witness

    Examples:
      | stated                 | needs     |
      | their start            | needs not |
      | nothing                | needs     |
      | their start, nothing   | needs     |
      | nothing, their start   | needs     |
