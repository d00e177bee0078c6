Feature: A cold engine gets no more load than it can handle

  Guards against full load on an engine after a restart or a silent fall,
  and against a limit that swings with single outliers.

  Scenario: The limit grows by one per completion once the engine is warm
    Given a ramp to 20 slots
    Then completions on a cold engine leave the limit at 1
    And 19 completions on a warm engine raise it to 20, one at a time

  Scenario: A cold report lowers the limit at once
    Given a ramp that has reached its slots
    When the engine reports that it is cold
    Then the limit is 1 until the engine has reported twice that it is warm

  Scenario: Completions from before the fall do not raise the limit
    Given a ramp that has reached its slots
    When the engine reports that it is cold
    And the engine is warm again and 10 older requests complete
    Then the limit is 1

  Scenario: Single slow completions change nothing
    Given a ramp that has reached its slots
    When every third of 60 completions takes 10 times as long
    Then the limit is 20

  Scenario: Completions that stay slow lower the limit
    Given a ramp that has reached its slots
    When 3 completions in a row take 4 times as long
    Then the limit is 1

  Scenario: Outliers do not move the baseline
    Given a ramp that has reached its slots
    When every third of 60 completions takes 1000 times as long
    Then the baseline is within 20 percent of the fast completions

  Scenario: Load between the two thresholds neither raises nor lowers it
    Given a ramp with a limit of 5
    When 10 completions take 2.6 times as long
    Then the limit is 5

  Scenario: A second agent at the upstream starts the ramp again
    Given a ramp that has reached its slots
    When runs of another agent are seen
    Then the limit is 1

  Scenario: Two agents together stay within the cold limit of one engine
    Then two agents beside one cold engine run one request at once between them
