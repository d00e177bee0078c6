Feature: A fresh reader restores the records that the log has dropped

  Guards against records over the log's size limit, a reader that uses a
  state with a gap in it, and deployments in which no process, or every
  process, writes a snapshot.

  Scenario: No part of a snapshot exceeds the limit of a record
    Given a state with 3000 accounts
    Then every part of its snapshot is under 65536 bytes
    And a fresh reader takes an equal state from the parts

  Scenario Outline: A snapshot with <fault> is not applied
    Given a state with 300 accounts
    When a fresh reader gets the parts of its snapshot with <fault>
    Then the reader is not ready

    Examples:
      | fault              |
      | a missing part     |
      | the first part cut |
      | a changed part     |
      | parts out of order |
      | malformed parts    |

  Scenario: A reader reads the records after the snapshot again
    Given a log that dropped its first records after a snapshot
    When a fresh reader reads it, with changes between the parts
    Then it reads the changes after the snapshot and is ready

  Scenario: Unfinished snapshots use bounded memory
    When 200 writers each append the first part of a snapshot and stop
    Then a fresh reader buffers at most 4 of them
    And it applies a later complete snapshot

  Scenario: Instances write a snapshot before the log drops the last one
    Given 40 instances and a log that keeps 2000 records
    When they run for 3000 steps while one in three writers fails
    Then a fresh reader was ready at every step
    And at most 2 snapshots were started for each that was due

  Scenario: Instances without a member list do not all write at once
    Given 40 instances and a log that keeps 2000 records
    When they run for 3000 steps without a member list
    Then a fresh reader was ready at every step
    And at most 3 snapshots were started for each that was due

  Scenario: An idle instance renews the snapshot before it expires
    Given one instance with a renewal period of 100 s
    When nothing changes for 1000 s
    Then it writes 9 or 10 snapshots
