@requests
Feature: What shows that a response is complete

  Scenario Outline: The end of a <kind> framed by <framing>, its move <move>, is shown by <proof>
    Given a <kind>, framed by <framing>, whose move is <move>
    Then its end is shown by <proof>

    Examples: framed responses
      | framing | kind       | move        | proof   |
      | length  | plain body | none        | framing |
      | length  | generation | pending     | framing |
      | chunked | generation | moved       | framing |
      | chunked | generation | none        | framing |

    # Guards against a move that ends a stream as complete.
    Examples: unframed responses
      | framing | kind       | move        | proof      |
      | close   | plain body | none        | connection |
      | close   | generation | none        | report     |
      | close   | generation | pending     | move       |
      | close   | generation | moved       | none       |
      | close   | generation | failed      | none       |
      | close   | generation | unknown_run | report     |

  Scenario: A generation whose events reach its maximum of tokens is complete in any state
    Then in any state an unframed generation of 6 tokens is complete at event 6, not at 5
    And one without a maximum is never complete by its count
    And one whose ids do not count its events is never complete by its count
    And one without any event is never complete

  Scenario Outline: A report that lists <runs> after event 3, the move <move>, is <verdict>
    Given a report that lists <runs>
    Then for run r1 after event 3 and 1 s, the move <move>, it is <verdict>

    Examples:
      | runs      | move        | verdict    |
      | no run    | none        | complete   |
      | no run    | unknown_run | complete   |
      | r2 with 9 | unknown_run | complete   |
      | r1 with 4 | none        | incomplete |
      | r1 with 4 | unknown_run | incomplete |
      | r1 with 3 | none        | undecided  |
      | r1 with 2 | unknown_run | undecided  |
      | nothing   | none        | complete   |
      | nothing   | unknown_run | incomplete |

  # Guards against a report from before the start of a run.
  Scenario: A report soon after the first event shows nothing by a run that it does not list
    Given a report that lists no run
    Then for run r1 after event 3 and 0.5 s, the move none, it is undecided
    And for run r1 after event 3 and 0.5 s, the move unknown_run, it is undecided

  # Guards against a report of a start that follows the one that wrote the response.
  Scenario Outline: A report that states <stated> is from <verdict> start as one born at 1000
    Then a report that states <stated> is from <verdict> start as one born at 1000

    Examples:
      | stated    | verdict    |
      | born 1000 | the same   |
      | born 1001 | another    |
      | born 999  | another    |
      | no start  | an unknown |
