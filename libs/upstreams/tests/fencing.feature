Feature: No command of a superseded agent takes effect

  Guards against an agent that was paused or disconnected from the log and
  then loads weights or changes the role while its successor is in control.

  Scenario Outline: Any sequence of takeovers, pauses and slow log reads
    Then <runs> random histories of commands to an upstream that <kind> tokens let no old command take effect

    Examples:
      | runs | kind    |
      | 100  | checks  |
      | 100  | ignores |

  Scenario: Each fencing rule reports why it permits no command
    Then an agent without a token may issue nothing
    And a token after another agent's is usable only after that agent's last command has expired
    And an agent whose last read of the log is old may issue nothing
    And a command expires when its deadline passes or its token is superseded
    And a superseded agent takes no second token

  Scenario: A role changes only after a lasting demand, few upstreams at once
    Then the wanted role of a decode upstream is
      | prefill | decode | seconds | position | pool | changed | role    |
      | 1.2     | 0.3    | 60      | 0.1      | 10   | 300     | prefill |
      | 1.2     | 0.3    | 40      | 0.1      | 10   | 300     | decode  |
      | 1.2     | 0.6    | 60      | 0.1      | 10   | 300     | decode  |
      | 0.8     | 0.3    | 60      | 0.1      | 10   | 300     | decode  |
      | 1.2     | 0.3    | 60      | 0.2      | 10   | 300     | decode  |
      | 1.2     | 0.3    | 60      | 0.1      | 1    | 300     | decode  |
      | 1.2     | 0.3    | 60      | 0.1      | 10   | 299     | decode  |

  Scenario: Weight loads start only in the time slots of the weight store
    Then a load starts in its slot, not before, and a missed slot is requested again
