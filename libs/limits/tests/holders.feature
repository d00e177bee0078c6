Feature: A holder charges a reservation once and never exceeds its share

  Each share has a rate of 5 tokens per second and a burst of 20.

  Scenario: A repeated token request is charged once
    Guards against a second charge if the reply to the first request is lost.
    Given a full share
    When reservation "a" requests 12 tokens twice
    Then both times 12 tokens are granted
    And 8 tokens are left

  Scenario: A repeated settlement refunds once
    Guards against refunds that exceed the charge.
    Given a full share
    When reservation "a" requests 12 tokens
    And "a" is settled with 2 used twice
    Then 18 tokens are left

  Scenario: A token request that arrives after its settlement is not charged
    Guards against a charge that is never settled, because the requesting
    agent has already closed the reservation.
    Given a full share
    When "a" is settled with 0 used
    And reservation "a" requests 12 tokens
    Then it is refused as settled
    And 20 tokens are left

  Scenario: Long requests do not exceed rate and burst
    Guards against refunds of tokens that the refill has already replaced.
    Given a full share
    When reservation "a" requests 20 tokens
    And 4 seconds pass
    And reservation "b" requests 20 tokens
    And "a" is settled with 0 used
    Then 0 tokens are left

  Scenario: A holder without recent evidence grants nothing
    Guards against grants by a holder that was paused while its share was
    reassigned.
    Given a full share
    When 5 seconds pass
    And reservation "a" requests 1 tokens
    Then it is refused as stale
    When a read of the log completes that started 4 seconds ago
    And reservation "a" requests 1 tokens
    Then 1 tokens are granted
    When 1 seconds pass
    And reservation "b" requests 1 tokens
    Then it is refused as stale

  Scenario: A list without the holder is no evidence
    Guards against grants by a holder that the other agents consider gone.
    Given a full share
    When 5 seconds pass
    And the list is read and does not contain the holder
    And reservation "a" requests 1 tokens
    Then it is refused as stale

  Scenario: A holder grants nothing from a share that the log reassigned
    Guards against two holders of one share.
    Given a full share
    When the log assigns the share to another agent
    And reservation "a" requests 1 tokens
    Then it is refused as no_share

  Scenario: A token request that arrives after its deadline is not charged
    Guards against tokens spent on a request that was already rejected.
    Given a full share
    When reservation "a" requests 12 tokens after its deadline
    Then it is refused as expired
    And 20 tokens are left

  Scenario: An unreleased share refills after its previous holder's last grant
    Guards against two holders that refill one share at the same time. The
    previous holder may have read the log just before the assignment.
    Given a share that its previous holder did not release
    When 4.9 seconds pass with fresh evidence
    Then 0 tokens are left
    When 1.1 seconds pass with fresh evidence
    Then 5 tokens are left

  Scenario: A refusal has the time at which the tokens will be available
    Guards against clients that retry too early or too late.
    Given a full share
    When reservation "a" requests 15 tokens
    And reservation "b" requests 10 tokens
    Then it is refused as lacking with 5 available in 1 seconds
    When 1 seconds pass
    And reservation "b" requests 10 tokens
    Then 10 tokens are granted

  Scenario: Charges of an agent that is gone stay spent
    Guards against a refund of tokens that may have been used.
    Given a full share
    When reservation "a" requests 12 tokens
    And the requesting agent is gone
    And "a" is settled with 0 used
    Then 8 tokens are left

  Scenario: A retry reuses the charge of an agent that is gone
    Guards against an accepted answer that is truncated because its
    resumption would have to be charged a second time.
    Given a full share
    When reservation "a" requests 12 tokens
    And the requesting agent is gone
    And another agent requests reservation "a" again
    Then 12 tokens are granted
    And 8 tokens are left

  Scenario: An agent cannot refund a reservation that another agent retries
    Guards against tokens that are used without a charge.
    Given a full share
    When reservation "a" requests 12 tokens
    And another agent requests reservation "a" again
    And "a" is settled with 0 used
    Then 8 tokens are left

  Scenario: A reduced contract applies at once
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
    And reservation "a" requests 1 tokens
    Then it is refused as draining

  Scenario: Settled charges are deleted after their retention
    Guards against memory that grows with the number of requests.
    Given a full share
    When 500 reservations are charged and settled
    And 61 seconds pass
    Then the holder has 0 charges
