Feature: Capacity figures follow from what was measured

  Guards against a fit or a budget that reports a cost as affordable which
  is not, and against a slope that stands for points on no line.

  Scenario: A line through exact points is found
    Given measured points of 3 bytes for each unit and 40 bytes at first
    Then the slope is 3, the intercept is 40 and the residual is 0
    And the line predicts 30040 at size 10000

  Scenario: A least-squares line through scattered points is found
    Given the measured points 1:1, 2:3, 3:2, 4:5
    Then the slope is 1.1, the intercept is 0 and the residual is 0.2988

  Scenario: Points without two different sizes have no line
    Then a line through the sizes 5 and 5 is refused
    And a line through two sizes and one value is refused

  Scenario: Two figures of one name are refused
    Then the bytes on the wire never stand for the bytes in memory

  Scenario Outline: A cost passes up to its limit and not beyond
    Then <amount> of <unit> is judged <verdict>

    Examples:
      | amount      | unit    | verdict   |
      | 0.01        | core    | pass      |
      | 0.010001    | core    | fail      |
      | 128000000   | memory  | pass      |
      | 128000001   | memory  | fail      |
      | 3000        | network | pass      |
      | 3001        | network | fail      |
      | 300         | appends | pass      |
      | 301         | appends | fail      |
      | 99999999999 | data    | no budget |

  Scenario: Costs that pass one by one fail together
    Given three costs of 1100 bytes per second of one role
    Then each passes and their sum of 3300 fails
    And a cost of another role or unit is not in the sum

  Scenario: The scaled costs follow from slopes of one
    Given slopes of one for everything that is measured
    Then the entry has 640 links and an agent 55.58 from entries
    And the list poll of an entry is 16520 bytes per second
    And the committer holds 172800000 claims
    And the log gets 240 appends of claim batches per second
    And twice the slopes give twice the costs of the entry's links

  Scenario: A shared part is estimated without large error
    Then the sketch of two caches of 200 blocks that share half is within 40 %
    And whole digests give the shared weight of the same caches exactly
