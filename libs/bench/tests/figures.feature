Feature: The metrics of a benchmark run are computed correctly

  Guards against a wrong report because a request was counted twice, not at
  all, or on the wrong side of a limit.

  Scenario: The perfect counter admits exactly rate and burst
    Given a perfect counter of 100 tokens per second and a burst of 300
    Then it admits 300 tokens at second 0
    And it rejects 1 tokens at second 0
    And it admits 50 tokens at second 0.5
    And it rejects 1 tokens at second 0.5
    And it admits 300 tokens at second 90
    And it rejects 101 tokens at second 91

  Scenario: The counter agrees with exact arithmetic on random offers
    Then 300 random offers are admitted as exact fractions admit them

  Scenario Outline: A request is good only within both targets
    Given targets of 1.5 seconds and 70 milliseconds
    Then an answer with first token after <first> s, <slow> of 20 gaps at 90 ms and end <whole> is <verdict>

    Examples:
      | first | slow | whole | verdict |
      | 1.5   | 1    | yes   | good    |
      | 1.51  | 0    | yes   | bad     |
      | 0.1   | 2    | yes   | bad     |
      | 0.1   | 0    | no    | bad     |

  Scenario: Only prefills without decoded tokens count as wasted
    Then a prefill of 5000 with 2000 cached tokens wastes 0 when its own attempt decoded
    And a prefill of 5000 with 2000 cached tokens wastes 3000 when another attempt decoded
    And a prefill of 5000 with 2000 cached tokens wastes 3000 when its attempt decoded no token

  Scenario: The worst served account is relative to the mean share
    Given accounts that got 10 of 10 and 5 of 10 requests served well
    Then the worst served is at 0.667 of the mean

  Scenario: A rejection counts only within the rate and with spare capacity
    Given 10 slots of which 5 are gone from second 5 on
    Then a rejection at second 1 beside 8 open requests counts
    And a rejection at second 1 beside 9 open requests does not count
    And a rejection at second 6 beside 5 open requests does not count
    And a rejection at second 1 of a request over the rate does not count

  Scenario: A truncated response is lost unless its caller cancelled
    Then a truncated response is lost
    And a truncated response whose caller cancelled is not lost
    And a rejected request is not lost

  Scenario: A static split rejects what exceeds one entry's share
    Given 2 entries that share a burst of 1000 tokens statically
    Then requests of 400 tokens at entries 0, 0, 1 have rejections: 1

  Scenario: A misspelt policy is rejected
    Then the policy "least_outstanding" is valid and "least_outstandin" is not
