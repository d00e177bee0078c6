Feature: Guarantees hold under pairs of concurrent random faults

  Guards against faults that are tolerated singly but not in combination.

  Scenario Outline: Faults of seed <seed>
    Given two zones with engines that need 5 ms for a token
    When faults of seed <seed> are injected for 25 seconds under load
    Then every accepted request got one complete response and ran once
    And no request with outcome "not_run" was executed
    And all engine memory is released

    Examples:
      | seed |
      | 3    |
      | 8    |
