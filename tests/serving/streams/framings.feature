@requests
Feature: Which responses may end with their connection alone

  # Guards against a response whose end nothing can show, since it was not expected.
  Scenario Outline: After responses <seen>, the next one <needs> a witness
    Given responses delimited by <seen>
    Then the next response of that kind <needs> a witness

    Examples:
      | seen             | needs     |
      | nothing          | needs     |
      | 7 length         | needs     |
      | 8 length         | needs not |
      | 8 chunked        | needs not |
      | 1 close          | needs     |
      | 8 length, 1 close | needs    |
      | 1 close, 8 length | needs    |

  Scenario: Kinds are told apart by service, software version and route
    Given responses delimited by 8 length
    Then a response of another service, version or route needs a witness

  Scenario Outline: After reports that state <stated>, an unframed response <needs> a witness
    Given responses delimited by 1 close
    And reports that state <stated>
    Then the next response of that kind <needs> a witness

    Examples:
      | stated                 | needs     |
      | their start            | needs not |
      | nothing                | needs     |
      | their start, nothing   | needs     |
      | nothing, their start   | needs     |
