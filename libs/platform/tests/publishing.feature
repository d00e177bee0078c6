Feature: A publisher gets the verdict of each of its records

  Guards against a change that is reported as failed but takes effect, one
  that is reported as accepted but has no effect, and one that takes effect
  twice.

  Background:
    Given a log service and a publisher that has read it

  Scenario: A record is accepted
    When the publisher publishes a configuration
    Then the outcome is "Accepted" with version 1

  Scenario: The answer to the append is lost
    When the publisher publishes a configuration and the answer is lost
    Then the outcome is "Accepted" with version 1
    And the configuration has version 1 at a fresh reader

  Scenario: Every answer is lost and the record is in the log twice
    When the publisher publishes a configuration and 2 answers are lost
    Then the outcome is "Accepted" with version 1
    And the configuration has version 1 at a fresh reader

  Scenario: Exactly one of 8 racing publishers is accepted
    When 8 publishers with the same state publish at once, half without answers
    Then one outcome is "Accepted" and 7 are "Rejected" with version 1
    And the configuration has version 1 at a fresh reader

  Scenario: The log is down while publishing
    Given the log service is down
    When the publisher publishes a configuration
    Then the outcome is "Unknown"

  Scenario: The log recovers while publishing
    Given the log service is down for 0.3 s
    When the publisher publishes a configuration
    Then the outcome is "Accepted" with version 1

  Scenario: The log is unreachable, so nothing was published
    Given a publisher whose log has no listener
    When the publisher publishes a configuration
    Then nothing was published, for "PlatformUnavailable"

  Scenario: A record over the limit is not appended
    When the publisher publishes a configuration of 3000 models
    Then nothing was published, for "BodyTooLarge"
    And the log has no record

  Scenario: Each of several records has its own outcome
    When the publisher publishes two contracts, one of them on a wrong version
    Then the outcomes are "Accepted" and "Rejected"

  Scenario: A fresh reader restores a snapshot and is ready
    Given 700 records, a snapshot written with 3 lost answers, and 5 records
    And the log has dropped its first 600 records
    When a fresh reader catches up
    Then it has the same state as the publisher

  Scenario: A reader that lacks records reports a stale configuration
    Given 700 records
    And the log has dropped its first 600 records
    When a fresh reader catches up
    Then it reports that its configuration is stale
    And the follower does not confirm the state as current

  Scenario: A process writes a snapshot while its state changes
    Given 700 records
    When the process starts a snapshot, and its state changes meanwhile
    Then the log holds the snapshot of the state at the start
    And the process writes no second one

  Scenario: A shutdown stops a snapshot between two parts
    Given 700 records
    When the process starts a snapshot, and is shut down
    Then the log has no complete snapshot
