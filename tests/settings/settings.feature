@settings
Feature: Settings files are merged and validated

  Scenario Outline: The settings of the example deployments are valid
    When the deployment "<firm>" is loaded
    Then its site "<site>" has 2 services and 5 client accounts
    And all 3 process files of "<firm>" are valid

    Examples:
      | firm       | site   |
      | inyenyeri  | kigali |
      | fascicoli  | padova |

  Scenario: Overlay values take precedence and each value has an origin
    When the deployment "inyenyeri" is loaded
    Then at "kigali" the value "services[seats].capacity.max_hosts" is 8 from "site/kigali"
    And at "kigali" the value "services[seats].capacity.min_hosts" is 2 from "base"
    And at "kigali" the value "services[seats].retry_budget" is 0.1 from "default"

  Scenario: An invalid deployment is refused with line and key path of the fault
    Then each invalid deployment is refused with its line and key path

  Scenario Outline: A file whose root is not a mapping is refused
    When a deployment is loaded whose file "<file>" contains <text>
    Then line 1 of "<file>" is refused because it is not a mapping

    Examples:
      | file      | text    |
      | base      | - 1     |
      | base      | word    |
      | site/one  | [1, 2]  |

  Scenario: All faults of a deployment are reported at once, each only once
    When a deployment with three faults is loaded for two sites
    Then three faults are reported

  Scenario: Arbitrary text is accepted or refused with faults
    Then random texts and corrupted examples are accepted or refused with faults

  Scenario: Keys are verified by their salted hashes
    Then a key ring returns the owner of a known key and no owner of an unknown one

  Scenario: A key is compared with each salted hash only once
    Then 16 concurrent lookups in each of 2 key rings compare a key with each hash once

  Scenario: Dumps mask secrets
    When the deployment "fascicoli" is loaded
    Then a dump of the settings of "padova" has client accounts but no key hashes
