Feature: Log lines never block the process, and their memory is bounded

  Guards against requests that block on standard output, an unbounded queue of
  log lines, and rejections that are dropped in favor of routine lines.

  Scenario: Logging does not block while standard output is not read
    Given an output whose stream is not read
    When 20000 routine decisions are logged
    Then the mean time per decision was less than a millisecond
    And at most 4096 lines are queued
    When the stream is read again
    Then 20000 lines were written or dropped
    And the report of dropped lines contains a time and an instance

  Scenario: Rejections are logged when no more routine lines are queued
    Given an output whose stream is not read
    When 20000 routine decisions are logged
    And 500 rejections are logged
    And the stream is read again
    Then all 500 rejections are written

  Scenario: All processes sample the lines of the same requests
    Given an output whose stream is not read
    And another output whose stream is not read
    When 3000 routine decisions are logged to both outputs
    Then the last logged requests are the same in both queues

  Scenario: A closed standard output only stops the writer thread
    Given an output whose stream is closed
    When 20000 routine decisions are logged
    Then the mean time per decision was less than a millisecond
    And at most 4096 lines are queued
