Feature: The build keeps installed packages only where they fit

  # Guards against packages that another kind of processor has installed: they are newer
  # than the requirements, and fail when they are imported.
  Scenario Outline: Packages that were installed <for> are <kept>
    Given packages that were installed <for>
    When the system is built on arm64 with Python 3.11
    Then the packages are <kept>

    Examples:
      | for                                     | kept      |
      | on arm64 with Python 3.11               | kept      |
      | on x86-64 with Python 3.11              | installed |
      | on arm64 with Python 3.12               | installed |
      | for other requirements                  | installed |
      | by a build that did not state what for  | installed |
      | by a build that was cut short           | installed |
      | nowhere                                 | installed |

  Scenario: The deployment runs with the versions that the tests run with
    Then the requirements of the deployment are pinned, and the lock file has the same
