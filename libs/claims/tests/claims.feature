Feature: At most one request runs for an idempotency key

  Guards against requests that run twice: if two committers act as the owner
  of a key, if responses to appends are lost, if committers are paused or
  restarted, and if the log drops records. The committers are a, b and c;
  requests are r0, r1 and so on, in the order of their arrival.

  Background:
    Given committers that have read the log

  Scenario: Of two committers only the first one in the log grants the claim
    When a gets k1, b gets k1, a flushes, b flushes
    And the append is recorded, the append is recorded, a reads, b reads
    Then r0 gets Granted
    And r1 gets Taken by r0 with the same body

  Scenario: A claim is not granted before it is read from the log
    When a gets k1, a flushes, the append is recorded
    Then r0 gets nothing
    When a reads
    Then r0 gets Granted

  Scenario: A lost response is resolved by a read, not by another append
    When a gets k1, a flushes, the append is lost, 1 seconds pass, a flushes
    Then 1 appends were made
    When a reads
    Then r0 gets Granted

  Scenario: An append that is not in the log is repeated
    When a gets k1, a flushes, the append is timeout, a reads
    And 1 seconds pass, a flushes, the append is recorded, a reads
    Then r0 gets Granted

  Scenario: A repeated append that takes effect late does not restore a claim
    When a gets k1, a flushes, the append is late, a reads
    And 1 seconds pass, a flushes, the append is recorded, a reads
    And r0 is not dispatched after its grant, all catch up except late appends
    And the late append takes effect, all catch up, a gets k1, all catch up
    Then r1 holds k1

  Scenario: A definite failure after an unknown result does not reject the claim
    When a gets k1, a flushes, the append is timeout, a reads
    And 1 seconds pass, a flushes, the append is refused
    Then r0 gets nothing
    When a reads, 1 seconds pass, a flushes, the append is recorded, a reads
    Then r0 gets Granted

  Scenario: A definite failure is answered as not_run and is final
    When a gets k1, a flushes, the append is refused
    Then r0 gets Unavailable
    When a gets r0 again
    Then r0 gets Unavailable

  Scenario: The claim of a rejected request blocks neither its key nor its body
    When a gets k1, a flushes, the append is lost, 6 seconds pass, a flushes
    Then r0 gets Unavailable
    When a reads, a gets k1, a flushes, the append is recorded, a reads
    Then r1 gets Granted
    And 2 appends were made
    When a gets k1 with another body
    Then r2 gets Taken by r1 with another body

  Scenario: A released key stays bound to its body
    When a gets k1, a flushes, the append is lost, 6 seconds pass, a flushes
    And a reads, a flushes, the append is recorded
    And b gets k1 with another body, b flushes, the append is recorded
    And b reads
    Then r1 gets Taken by r0 with another body

  Scenario: A claim after that of a rejected request is appended again
    When a gets k1, a flushes, the append is lost, 6 seconds pass, a flushes
    Then r0 gets Unavailable
    When a gets k1, a flushes, the append is recorded, a reads
    Then r1 gets nothing
    When a flushes, the append is recorded, a reads
    Then r1 gets Granted

  Scenario: A committer does not release a claim that another one granted
    When a gets k1, b gets r0 again, b flushes, a flushes
    And the append is recorded, the append is recorded, b reads
    Then r0 gets Granted
    When 6 seconds pass, a flushes, a reads, all catch up, a gets k1
    Then r1 gets Taken by r0 with the same body

  Scenario: A committer that was paused grants no claim after its deadline
    When a gets k1, a flushes, the append is recorded, 6 seconds pass, a reads
    Then r0 gets Unavailable

  Scenario: A restarted committer restores claims whose records were dropped
    When a gets k1, all catch up, 30 other claims pass, the log drops records
    And all restart, all catch up, a gets k1
    Then r31 gets Taken by r0 with the same body

  Scenario: A committer that missed dropped records releases rejected claims
    When a gets k1, a flushes, the append is slow, a pauses
    And 30 other claims pass, the log drops records, a resumes, a flushes
    Then r0 gets Unavailable
    When all catch up, b gets k1, all catch up
    Then r31 holds k1

  Scenario: A compaction that takes effect late does not restore a claim
    When a gets k1, all catch up, a pauses, 10 other claims pass, a resumes
    And a reads, a flushes, a pauses
    And the claim period passes, 30 other claims pass, the log drops records
    And b gets k1, b flushes, the last append is recorded, b reads
    Then r41 gets Granted
    When the append is recorded, all restart, all catch up, all catch up
    And b gets k1
    Then r42 gets Taken by r41 with the same body

  Scenario: A late compaction does not cancel one that is due
    Then a late compaction does not cancel one that is due

  Scenario: An outdated end of the log does not end a replay
    When a gets k1, all catch up, all restart, a has a read in flight, a pauses
    And 30 other claims pass, the log drops records, a resumes, a reads once
    And a's read arrives, a reads, a gets k1
    Then r31 gets Taken by r0 with the same body

  Scenario: A claim rejected because of an expired one is never granted later
    When a gets k1, b gets k1, a flushes, b flushes, all catch up
    And the claim period passes, 9 other claims pass
    And a gets k1, a flushes, the append is recorded, a reads
    Then r11 gets Granted
    When the log drops 1 records, all restart, all catch up, all catch up
    And a gets k1
    Then r12 gets Taken by r11 with the same body

  Scenario: A read that skips records is ignored
    When a gets a read that skips records
    Then a has applied no records

  Scenario: A committer appends no claim before it has replayed the log
    When all restart, a gets k1, a flushes
    Then 0 appends were made
    When 6 seconds pass, a flushes
    Then r0 gets Unavailable

  Scenario: A key is free after the claim period, and its memory is released
    When a gets k1, all catch up, the claim period passes
    And a gets k1 with another body, all catch up
    Then r1 holds k1
    When the claim period passes
    Then no committer has a claim for k1
    When a gets k1, b gets k1, a flushes, b flushes, all catch up
    And the claim period passes, 9 other claims pass
    Then no committer has a claim for k1

  Scenario: A full committer rejects claims and evicts none
    When a has room for 2 claims, a gets k1, a gets k2, all catch up, a gets k3
    Then r2 gets Unavailable
    When a gets k1
    Then r3 gets Taken by r0 with the same body

  Scenario: Claims of one batching window share an append
    Then 1000 claims of one window need 2 appends

  Scenario: A non-durable claim expires with its response
    Then a non-durable claim is held until its request completes

  Scenario: The departure of an agent moves only its own keys
    Then of 12 agents and 3 committers one leaves and only its keys move

  Scenario: No sequence of faults causes a second run or a wrong answer
    Then 200 seeded histories of 150 steps agree with the oracle
    And the state machine with 40 examples of 50 steps agrees with the oracle
