Feature: A holder charges every token once and never more than its share

  Each share has a rate of 5 tokens per second and a burst of 20.

  Scenario: A repeated draw is charged once
    Guards against a second charge when the reply to the first is lost.
    Given a full share
    When the draw "a" for 12 tokens comes twice
    Then both times 12 tokens are granted
    And 8 tokens are left

  Scenario: A repeated settlement refunds once
    Guards against a level above what was charged.
    Given a full share
    When the draw "a" for 12 tokens comes
    And "a" is settled with 2 used twice
    Then 18 tokens are left

  Scenario: A draw that comes after its settlement is not charged
    Guards against tokens lost to a draw that its drawer has given up.
    Given a full share
    When "a" is settled with 0 used
    And the draw "a" for 12 tokens comes
    Then it is refused as settled
    And 20 tokens are left

  Scenario: Long requests do not add up to more than rate and burst
    Guards against refunds of tokens that the refill has replaced.
    Given a full share
    When the draw "a" for 20 tokens comes
    And 4 seconds pass
    And the draw "b" for 20 tokens comes
    And "a" is settled with 0 used
    Then 0 tokens are left

  Scenario: A holder without fresh evidence grants nothing
    Guards against grants by a holder that was paused while its share moved.
    Given a full share
    When 5 seconds pass
    And the draw "a" for 1 tokens comes
    Then it is refused as stale
    When a read of the log ends that started 4 seconds ago
    And the draw "a" for 1 tokens comes
    Then 1 tokens are granted
    When 1 seconds pass
    And the draw "b" for 1 tokens comes
    Then it is refused as stale

  Scenario: A list without the holder's name is no evidence
    Guards against a holder that grants after the fleet counts it as gone.
    Given a full share
    When 5 seconds pass
    And the list is read and does not name the holder
    And the draw "a" for 1 tokens comes
    Then it is refused as stale

  Scenario: A share that the log gave away is not granted from
    Guards against two holders of one share.
    Given a full share
    When the log gives the share to another agent
    And the draw "a" for 1 tokens comes
    Then it is refused as no_share

  Scenario: A draw that comes after its deadline is not charged
    Guards against tokens spent on a request that was given up.
    Given a full share
    When the draw "a" for 12 tokens comes late
    Then it is refused as expired
    And 20 tokens are left

  Scenario: A share taken from a gone holder refills after its last grant
    Guards against two holders that refill one share, where the earlier one
    read the log just before the assignment.
    Given a share that its earlier holder did not release
    When 4.9 seconds pass with fresh evidence
    Then 0 tokens are left
    When 1.1 seconds pass with fresh evidence
    Then 5 tokens are left

  Scenario: A refusal tells when the missing tokens will be there
    Guards against clients that come back too early or too late.
    Given a full share
    When the draw "a" for 15 tokens comes
    And the draw "b" for 10 tokens comes
    Then it is refused as lacking with 5 available in 1 seconds
    When 1 seconds pass
    And the draw "b" for 10 tokens comes
    Then 10 tokens are granted

  Scenario: Draws of a gone agent stay spent
    Guards against a refund of tokens that may have run.
    Given a full share
    When the draw "a" for 12 tokens comes
    And the drawer is gone
    And "a" is settled with 0 used
    Then 8 tokens are left

  Scenario: A retry takes over the draw of an agent that is gone
    Guards against an accepted answer that is cut because its resumption
    would have to be charged a second time.
    Given a full share
    When the draw "a" for 12 tokens comes
    And the drawer is gone
    And another agent asks for the draw "a" again
    Then 12 tokens are granted
    And 8 tokens are left

  Scenario: A drawer that gave up cannot refund what a retry uses
    Guards against tokens that run without a charge.
    Given a full share
    When the draw "a" for 12 tokens comes
    And another agent asks for the draw "a" again
    And "a" is settled with 0 used
    Then 8 tokens are left

  Scenario: A lowered contract applies at once
    Guards against a burst of the old size after the change.
    Given a full share
    When the contract changes to rate 2 and burst 11
    Then 6 tokens are left
    When 1 seconds pass
    Then 6 tokens are left

  Scenario: A holder that shuts down grants nothing
    Guards against grants after the share is released.
    Given a full share
    When the holder stops granting
    And the draw "a" for 1 tokens comes
    Then it is refused as draining

  Scenario: Ended draws are forgotten after their time
    Guards against memory that grows with the number of requests.
    Given a full share
    When 500 draws come and are settled
    And 61 seconds pass
    Then the holder remembers 0 draws
