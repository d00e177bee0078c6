Feature: Requests reserve tokens from all shares of their client account

  The account's two shares have a rate of 5 and a burst of 20 tokens each.

  Scenario: A reservation that fits into one share takes one round trip
    Guards against needless messages, which delay the first token.
    Given a fleet with full shares
    When an agent reserves 20 tokens as "a"
    Then "a" is admitted after 2 messages

  Scenario: A reservation collects partial grants from several shares
    Guards against rejections of requests that need the tokens of several
    shares.
    Given a fleet with full shares
    When an agent reserves 33 tokens as "a"
    Then "a" is admitted

  Scenario: A reservation that cannot be completed is refunded
    Guards against partial grants that stay charged after a rejection.
    Given a fleet with full shares
    When an agent reserves 10 tokens as "a"
    And an agent reserves 35 tokens as "b"
    Then "b" is rejected with "rate_exceeded" and 0.5 seconds to wait
    When an agent reserves 30 tokens as "c"
    Then "c" is admitted

  Scenario: A lost reply does not cause a second charge
    Guards against a second charge by the resent token request.
    Given a fleet with full shares
    When an agent reserves 15 tokens as "a" and the first reply is lost
    Then "a" is admitted
    And 25 tokens are left in all shares

  Scenario: A reservation without any reply is rejected at its deadline
    Guards against requests that wait for ever, and against charges that are
    never settled because the grants arrive late.
    Given a fleet with full shares
    When an agent reserves 15 tokens as "a" and replies take 2 seconds
    Then "a" is rejected with "deadline_unreachable"
    And 40 tokens are left in all shares

  Scenario: A retry by another agent reuses the reservation of the first
    Guards against a second charge for one request.
    Given a fleet with full shares
    When an agent reserves 33 tokens as "a"
    And the agent crashes and another retries "a"
    Then "a" is admitted
    And 7 tokens are left in all shares

  Scenario: A retry after the settlement makes a new reservation
    Guards against work that runs on refunded tokens.
    Given a fleet with full shares
    When an agent reserves 15 tokens as "a"
    And "a" ends with 5 tokens used and is retried
    Then "a" is admitted
    And 20 tokens are left in all shares

  Scenario: Of two concurrent reservations with partial grants one is admitted
    Guards against two reservations that each have a partial grant and are
    both rejected.
    Given a fleet with full shares
    When two agents reserve 30 tokens each in any of 120 message orders
    Then every time exactly one is admitted

  Scenario: An amount above the burst is rejected at once
    Guards against a request that waits for tokens it can never get.
    Given a fleet with full shares
    When an agent reserves 41 tokens as "a"
    Then "a" is rejected with "tokens_out_of_range"

  Scenario: A settlement lost with its link is resent
    Guards against unused tokens that stay charged.
    Given a fleet with full shares
    When an agent reserves 15 tokens as "a"
    And "a" ends with 0 tokens used and the link loses the settlement
    Then 40 tokens are left in all shares

  Scenario: Unused tokens are refunded to the shares that granted them
    Guards against refunds that exceed a share's grant.
    Given a fleet with full shares
    When an agent reserves 33 tokens as "a"
    And "a" ends with 25 tokens used
    Then 15 tokens are left in all shares

  Scenario: A late grant to a duplicate of a rejected request is refunded
    Guards against tokens charged to a request that was rejected.
    Given a fleet with full shares
    When an agent reserves 15 tokens as "a"
    And an agent reserves 15 tokens as "b"
    And an agent reserves 12 tokens as "c" and its first message is duplicated
    Then "c" is rejected with "rate_exceeded"
    And 30 tokens are left in all shares

  Scenario: A duplicated grant does not change the settlement
    Guards against a refund of used tokens when messages are reordered.
    Given a fleet with full shares
    When an agent reserves 15 tokens as "a" and its grant is duplicated
    Then 35 tokens are left in all shares

  Scenario: A late refusal is not the reply to a newer token request
    Guards against a share that is not asked though it has tokens.
    Given a fleet with full shares
    When an agent reserves 8 tokens as "a"
    And an agent reserves 8 tokens as "b"
    And an agent reserves 18 tokens as "c" and its first refusal is duplicated
    Then "c" is admitted

  Scenario: A complete reservation does not keep its shares busy
    Guards against reservations that wait for one that needs no more tokens.
    Given a fleet with full shares
    When an agent reserves 30 tokens as "a"
    And the fleet runs for 0.9 seconds
    And an agent reserves 17 tokens as "b"
    Then "b" is admitted

  Scenario: A retry is not charged at a share that has refilled
    Guards against a second charge if the retry asks the shares in another
    order than the first attempt.
    Given a fleet with full shares
    When 12 requests reserve 15 tokens and are retried later
    Then no retry takes tokens

  Scenario: A rejected retry does not refund tokens that may have been used
    Guards against a refund of tokens that the first attempt used.
    Given a fleet with full shares
    When an agent reserves 33 tokens as "a"
    And the agent and one holder crash and another retries "a"
    Then no part of "a" is refunded

  Scenario: An account that uses less than its rate is not rejected
    Guards against shares that become empty one by one.
    Given a fleet with full shares
    When an agent reserves 16 tokens 300 times at 0.9 of the rate
    Then nothing is rejected
    And a reservation takes at most 3.1 messages

  Scenario: Two shares of one holder are charged separately
    Guards against an oracle that counts the second share's grant as a repeat
    of the first, if one holder has both shares in the same epoch.
    Given a fleet whose only agent holds both shares in one epoch
    When an agent reserves 33 tokens as "a"
    Then "a" is admitted
    And 7 tokens are left in all shares
    And 33 tokens are charged to "a"

  Scenario: Rate and burst are never exceeded under any faults
    Guards against grants beyond the contract during crashes, pauses, broken
    connections, moved shares and changed contracts.
    Then 240 runs of 40 random steps under full load agree with the oracle

  Scenario: Charges and rejections are right under any faults
    Guards against work without a charge, and against rejections that a single
    central counter would not make, when messages are lost, duplicated and
    reordered.
    Then 180 runs of 50 random steps agree with the oracle
