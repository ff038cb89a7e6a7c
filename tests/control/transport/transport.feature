Feature: Calls of the control process to engines

  # Guards against an engine whose response never ends and fills the process's memory.
  Scenario: A response that does not end is no response
    Given an engine that sends a body without end
    Then an order to it gets no answer, and takes at most 4 MB of memory
    And its state is not known
