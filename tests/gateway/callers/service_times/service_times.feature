Feature: The longest times that requests of a route lately took

  Scenario Outline: What is known <when> after a request that took 2 s
    Given a request of route "buy" that took 2 s
    Then <when> later the time known for "<route>" is "<known>"

    Examples:
      | when  | route | known |
      | 1 s   | buy   | 3 s   |
      | 1 s   | look  | none  |
      | 31 s  | buy   | 3 s   |
      | 61 s  | buy   | none  |
      | 301 s | buy   | none  |
