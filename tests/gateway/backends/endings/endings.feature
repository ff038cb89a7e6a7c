@gateway
Feature: What counts as the end of a response that ends with its connection

  # Guards against a stream whose move stopped it and that ends as complete without its rest.
  Scenario: No stream that a move stops ends as complete without its rest
    Given two engines
    When streams run in each framing on both routes and moves stop them, with each kind of answer
    Then no stream ends as complete without all its events
    And streams go on after their last event wherever a copy or their route allows it

  # Guards against the same at a gateway as it is deployed.
  Scenario: No stream that a move stops at a gateway process ends as complete without its rest
    Given two engines and gateway processes
    When streams run in each framing on both routes and moves stop them, with each kind of answer
    Then no stream ends as complete without all its events
    And streams go on after their last event wherever a copy or their route allows it

  # Guards against a part of a response that a killed engine leaves, passed on as the whole.
  Scenario: No response of a killed engine ends as complete without its rest
    Given an engine process and another engine
    When the process is killed in the middle of streams and bodies in each framing
    Then no response ends as complete without its rest
    And requests that may be repeated get a whole response of the other engine
