Feature: Log lines never delay the process and stay bounded

  Guards against requests that wait for standard output, memory that grows
  with the log, and refusals that are lost among routine lines.

  Scenario: A standard output that is not read delays nobody
    Given an output that is not read
    When 20000 routine decisions are logged
    Then each took less than a millisecond in the mean
    And at most 4096 lines wait
    When the output is read again
    Then written and dropped lines are 20000 together
    And the report of dropped lines has a time and an instance

  Scenario: Refusals find room when routine lines have filled their part
    Given an output that is not read
    When 20000 routine decisions are logged
    And 500 refusals are logged
    And the output is read again
    Then all 500 refusals are written

  Scenario: All processes keep the lines of the same requests
    Given an output that is not read
    And another output that is not read
    When 3000 routine decisions are logged at both
    Then the requests that were kept last are the same at both

  Scenario: A closed standard output ends the writer and nothing else
    Given an output that is closed
    When 20000 routine decisions are logged
    Then each took less than a millisecond in the mean
    And at most 4096 lines wait
