@gateway
Feature: Preview of where a request would go

  Scenario Outline: The preview names the verdict and the figures that decide it
    # Guards against previews that differ from what the relay does.
    Given a gateway with two engines, of which <state>
    When an operator previews a prompt to "<path>" of account "<account>"
    Then the verdict is "<verdict>" because of "<reason>"
    And a caller's prompt to "<path>" gets <status>

    Examples:
      | state                          | path     | account | verdict | reason              | status |
      | both are idle                  | /draft/1 | choir   | sent    | earliest first event | 200    |
      | i-1 has 100000 tokens to read  | /draft/1 | choir   | sent    | earliest first event | 200    |
      | both have 100000 tokens to read | /draft/1 | choir  | refused | late                | 503    |
      | both leave                     | /draft/1 | choir   | refused | no eligible         | 503    |
      | both are idle                  | /none/1  | choir   | refused | 404                 | 404    |
      | both are idle                  | /draft/1 | nobody  | refused | 401                 | 200    |

  Scenario: The candidates are listed with their figures and ages, the best one first
    # Guards against explanations that name the wrong engine or hide old figures.
    Given a gateway with two engines, of which i-1 has 100000 tokens to read
    When an operator previews a prompt to "/draft/1" of account "choir"
    Then the candidates are "i-2" and "i-1", with 0 and 100000 tokens to read
    And the age of the peer's digest is given for "i-1" only

  Scenario Outline: A preview changes nothing
    # Guards against previews that charge limits, count demand or mark engines.
    Given a gateway with two engines, of which <state>
    And the service reports its pace, and its engines are scarce
    When an operator previews a prompt to "/draft/1" of account "choir" 100 times
    Then the state of the gateway is as before, and no engine got a request
    And each verdict was "<verdict>"

    Examples:
      | state                           | verdict |
      | both have 100000 tokens to read | refused |
      | both are idle                   | sent    |

  Scenario: The command prints the preview as text and as JSON
    # Guards against a command that can't read what the metrics listener answers.
    Given a gateway with two engines, of which both are idle
    When an operator runs the command, for text and for JSON
    Then both name the route, the service, the engines and the verdict

  Scenario: Malformed calls are refused
    # Guards against errors that close the metrics listener's connection.
    Given a gateway with two engines, of which both are idle
    Then a preview with prompt_tokens "many" is a ValueError
