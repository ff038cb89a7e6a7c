Feature: The gate of an entry host that stops

  # Guards against requests that wait for admission when their process ends, and get no answer.
  Scenario: Requests that still wait near the end of a stop are refused as not run
    Given a gate with 1 slot, a running request and 3 waiting ones
    When the process drains and is about to end
    Then the 3 waiting requests are refused within 0.5 s as not run, with a retry delay
    And the running request keeps its slot until it is released
