Feature: No command of a superseded agent takes effect

  Guards against an agent that was paused or cut off from the log and then
  loads weights or changes the role over the head of its successor.

  Scenario Outline: Agents, pauses and a slow log in any order
    Then <runs> random histories of commands to an upstream that <kind> tokens let no old command take effect

    Examples:
      | runs | kind    |
      | 100  | checks  |
      | 100  | ignores |

  Scenario: Each rule of the fence names why it holds a command back
    Then an agent without a token may issue nothing
    And a token after another agent's is usable only after that agent's last command is void
    And an agent whose last read of the log is old may issue nothing
    And a command is void once its deadline has passed or its token is old
    And an agent that lost its token does not take it back

  Scenario: A role changes only for lasting demand, and few at once
    Then a decode upstream wants a role so
      | prefill | decode | seconds | position | pool | changed | role    |
      | 1.2     | 0.3    | 60      | 0.1      | 10   | 300     | prefill |
      | 1.2     | 0.3    | 40      | 0.1      | 10   | 300     | decode  |
      | 1.2     | 0.6    | 60      | 0.1      | 10   | 300     | decode  |
      | 0.8     | 0.3    | 60      | 0.1      | 10   | 300     | decode  |
      | 1.2     | 0.3    | 60      | 0.2      | 10   | 300     | decode  |
      | 1.2     | 0.3    | 60      | 0.1      | 1    | 300     | decode  |
      | 1.2     | 0.3    | 60      | 0.1      | 10   | 299     | decode  |

  Scenario: Weight loads keep to the store's slots
    Then a load starts in its slot, not before, and a missed slot is asked for again
