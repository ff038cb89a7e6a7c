@settings
Feature: Settings are checked whole and merged by stated rules

  Scenario Outline: The example deployments are good
    When the deployment "<firm>" is read
    Then it has the site "<site>" with 2 services and 5 client accounts
    And every process file of "<firm>" is good

    Examples:
      | firm       | site   |
      | inyenyeri  | kigali |
      | fascicoli  | padova |

  Scenario: An overlay wins over the base and each value knows where it came from
    When the deployment "inyenyeri" is read
    Then at "kigali" the value "services[seats].capacity.max_hosts" is 8 from "site/kigali"
    And at "kigali" the value "services[seats].capacity.min_hosts" is 2 from "base"
    And at "kigali" the value "services[seats].retry_budget" is 0.1 from "default"

  Scenario: Twenty broken deployments are each refused at the place of the fault
    Then each broken deployment is refused where it is broken

  Scenario Outline: A file whose top is no mapping is refused with file and line
    When the file "<file>" of a deployment holds <text>
    Then it is refused at "<file>" for want of a mapping

    Examples:
      | file      | text    |
      | base      | - 1     |
      | base      | word    |
      | site/one  | [1, 2]  |

  Scenario: All faults are reported at once
    When a deployment with three faults is read
    Then three faults are reported

  Scenario: No text makes the loader fail in any other way
    Then random texts and damaged examples are accepted or refused with faults

  Scenario: Keys are recognised by their salted hashes only
    Then a key ring finds the owner of a key and refuses others

  Scenario: Salted hashes are compared once for each key, whatever the load
    Then many first requests with one key cost one comparison for each hash

  Scenario: Dumps mask secrets
    When the deployment "fascicoli" is read
    Then a dump of its settings for "padova" shows accounts without their key hashes
