Feature: A request gets its tokens wherever the shares together have them

  The account's two shares have a rate of 5 and a burst of 20 tokens each.

  Scenario: A share that covers the amount alone is enough
    Guards against needless messages on the way to the first token.
    Given a fleet with full shares
    When an agent draws 20 tokens as "a"
    Then "a" is admitted after 2 messages

  Scenario: Parts of several shares make up one amount
    Guards against rejections while the account's tokens are split.
    Given a fleet with full shares
    When an agent draws 33 tokens as "a"
    Then "a" is admitted

  Scenario: An amount that cannot be completed costs nothing
    Guards against parts that stay charged after a rejection.
    Given a fleet with full shares
    When an agent draws 10 tokens as "a"
    And an agent draws 35 tokens as "b"
    Then "b" is rejected with "rate_exceeded" and 0.5 seconds to wait
    When an agent draws 30 tokens as "c"
    Then "c" is admitted

  Scenario: A lost reply does not charge twice
    Guards against a second charge by the repeated message.
    Given a fleet with full shares
    When an agent draws 15 tokens as "a" and the first reply is lost
    Then "a" is admitted
    And 25 tokens are left in all shares

  Scenario: A draw without any reply ends at its deadline
    Guards against requests that wait for ever, and against charges that
    nobody settles when the replies come late.
    Given a fleet with full shares
    When an agent draws 15 tokens as "a" and replies take 2 seconds
    Then "a" is rejected with "deadline_unreachable"
    And 40 tokens are left in all shares

  Scenario: A retry by another agent uses the draw of the first
    Guards against a second charge for one request.
    Given a fleet with full shares
    When an agent draws 33 tokens as "a"
    And the agent crashes and another retries "a"
    Then "a" is admitted
    And 7 tokens are left in all shares

  Scenario: A retry after the settlement draws anew
    Guards against work that runs on tokens that were refunded.
    Given a fleet with full shares
    When an agent draws 15 tokens as "a"
    And "a" ends with 5 tokens used and is retried
    Then "a" is admitted
    And 20 tokens are left in all shares

  Scenario: Of two draws that collect parts at once one is admitted
    Guards against two draws that each hold a part and both give up.
    Given a fleet with full shares
    When two agents draw 30 tokens each in any of 120 message orders
    Then every time exactly one is admitted

  Scenario: An amount above the burst is rejected at once
    Guards against a request that waits for what never comes.
    Given a fleet with full shares
    When an agent draws 41 tokens as "a"
    Then "a" is rejected with "tokens_out_of_range"

  Scenario: A settlement lost with its link is sent again
    Guards against unused tokens that stay charged.
    Given a fleet with full shares
    When an agent draws 15 tokens as "a"
    And "a" ends with 0 tokens used and the link loses the settlement
    Then 40 tokens are left in all shares

  Scenario: Unused tokens return to the shares that gave them
    Guards against refunds above what a share gave.
    Given a fleet with full shares
    When an agent draws 33 tokens as "a"
    And "a" ends with 25 tokens used
    Then 15 tokens are left in all shares

  Scenario: A copy of a rejected draw that is granted later is refunded
    Guards against tokens charged to a request that was rejected.
    Given a fleet with full shares
    When an agent draws 15 tokens as "a"
    And an agent draws 15 tokens as "b"
    And an agent draws 12 tokens as "c" and its first message comes again
    Then "c" is rejected with "rate_exceeded"
    And 30 tokens are left in all shares

  Scenario: A copy of a grant changes no settlement
    Guards against a refund of used tokens when messages overtake.
    Given a fleet with full shares
    When an agent draws 15 tokens as "a" and its grant comes again
    Then 35 tokens are left in all shares

  Scenario: A late refusal is not the reply to a newer draw
    Guards against a share that is passed over though it has tokens.
    Given a fleet with full shares
    When an agent draws 8 tokens as "a"
    And an agent draws 8 tokens as "b"
    And an agent draws 18 tokens as "c" and its first refusal comes again
    Then "c" is admitted

  Scenario: A complete amount does not keep its shares busy
    Guards against draws that wait for one that has all its parts.
    Given a fleet with full shares
    When an agent draws 30 tokens as "a"
    And the fleet runs for 0.9 seconds
    And an agent draws 17 tokens as "b"
    Then "b" is admitted

  Scenario: A retry is not charged at a share that has refilled
    Guards against a second charge where shares are preferred differently.
    Given a fleet with full shares
    When 12 requests draw 15 tokens and are retried later
    Then no retry takes tokens

  Scenario: A rejected retry leaves spent what may have run
    Guards against tokens that ran and are refunded.
    Given a fleet with full shares
    When an agent draws 33 tokens as "a"
    And the agent and one holder crash and another retries "a"
    Then no part of "a" is refunded

  Scenario: An account that uses less than its rate is not rejected
    Guards against shares that run dry one by one.
    Given a fleet with full shares
    When an agent draws 16 tokens 300 times at 0.9 of the rate
    Then nothing is rejected
    And a draw takes at most 3.1 messages

  Scenario: Two shares of one holder are charged apart
    Guards against an oracle that takes the second share's part for a repeat
    of the first, where one holder has both shares in the same epoch.
    Given a fleet whose only agent holds both shares in one epoch
    When an agent draws 33 tokens as "a"
    Then "a" is admitted
    And 7 tokens are left in all shares
    And 33 tokens are charged to "a"

  Scenario: Rate and burst hold under any faults
    Guards against grants beyond the contract under crashes, pauses, cut
    connections, moved shares and changed contracts.
    Then 240 runs of 40 random steps under full load hold against the oracle

  Scenario: Charges and rejections are right under any faults
    Guards against work without a charge, and rejections that one perfect
    counter would not have made, under lost, copied and reordered messages.
    Then 180 runs of 50 random steps hold against the oracle
