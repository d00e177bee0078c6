Feature: Promises hold while random faults come two at a time

  Guards against faults that are harmless alone and harmful in pairs.

  Scenario Outline: Faults of seed <seed>
    Given two zones with engines that need 5 ms for a token
    When faults of seed <seed> come and go for 25 seconds under load
    Then every accepted request was answered in full and once
    And no refusal that said not run was false
    And all engine memory is freed

    Examples:
      | seed |
      | 3    |
      | 8    |
