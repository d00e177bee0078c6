Feature: At most one request runs for an idempotency key

  Guards against bookings made twice: by committers that both believe to own
  a key, by appends whose responses are lost, by paused or restarted
  committers, and by records that the log has dropped. The committers are
  a, b and c; requests are r0, r1 and so on, in the order of their arrival.

  Background:
    Given committers that have read the log

  Scenario: Of two committers only the one that comes first in the log grants
    When a gets k1, b gets k1, a flushes, b flushes
    And the append is recorded, the append is recorded, a reads, b reads
    Then r0 gets Granted
    And r1 gets Taken by r0 with the same body

  Scenario: A claim is not granted before the log shows it
    When a gets k1, a flushes, the append is recorded
    Then r0 gets nothing
    When a reads
    Then r0 gets Granted

  Scenario: A lost response is settled by reading back, not by appending again
    When a gets k1, a flushes, the append is lost, 1 seconds pass, a flushes
    Then 1 appends were made
    When a reads
    Then r0 gets Granted

  Scenario: An append that the log does not show is repeated
    When a gets k1, a flushes, the append is timeout, a reads
    And 1 seconds pass, a flushes, the append is recorded, a reads
    Then r0 gets Granted

  Scenario: A repeated append that takes effect late brings no claim back
    When a gets k1, a flushes, the append is late, a reads
    And 1 seconds pass, a flushes, the append is recorded, a reads
    And r0 is not dispatched after its grant, all settle but late appends
    And the late append lands, all settle, a gets k1, all settle
    Then r1 holds k1

  Scenario: A definite failure after an unknown result decides nothing
    When a gets k1, a flushes, the append is timeout, a reads
    And 1 seconds pass, a flushes, the append is refused
    Then r0 gets nothing
    When a reads, 1 seconds pass, a flushes, the append is recorded, a reads
    Then r0 gets Granted

  Scenario: A definite failure is told as not_run and holds for the request
    When a gets k1, a flushes, the append is refused
    Then r0 gets Unavailable
    When a gets r0 again
    Then r0 gets Unavailable

  Scenario: A rejected request's claim blocks neither its key nor its body
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

  Scenario: A claim behind that of a rejected request is made again
    When a gets k1, a flushes, the append is lost, 6 seconds pass, a flushes
    Then r0 gets Unavailable
    When a gets k1, a flushes, the append is recorded, a reads
    Then r1 gets nothing
    When a flushes, the append is recorded, a reads
    Then r1 gets Granted

  Scenario: A committer releases no claim that another one granted
    When a gets k1, b gets r0 again, b flushes, a flushes
    And the append is recorded, the append is recorded, b reads
    Then r0 gets Granted
    When 6 seconds pass, a flushes, a reads, all settle, a gets k1
    Then r1 gets Taken by r0 with the same body

  Scenario: A committer that was paused grants nothing past the deadline
    When a gets k1, a flushes, the append is recorded, 6 seconds pass, a reads
    Then r0 gets Unavailable

  Scenario: A restarted committer knows claims whose records were dropped
    When a gets k1, all settle, 30 other claims pass, the log drops records
    And all restart, all settle, a gets k1
    Then r31 gets Taken by r0 with the same body

  Scenario: A committer that missed dropped records releases what it rejected
    When a gets k1, a flushes, the append is slow, a pauses
    And 30 other claims pass, the log drops records, a goes on, a flushes
    Then r0 gets Unavailable
    When all settle, b gets k1, all settle
    Then r31 holds k1

  Scenario: A compaction that takes effect late brings no claim back
    When a gets k1, all settle, a pauses, 10 other claims pass, a goes on
    And a reads, a flushes, a pauses
    And the claim period passes, 30 other claims pass, the log drops records
    And b gets k1, b flushes, the last append is recorded, b reads
    Then r41 gets Granted
    When the append is recorded, all restart, all settle, all settle
    And b gets k1
    Then r42 gets Taken by r41 with the same body

  Scenario: A late compaction does not cancel one that is due
    Then a late compaction does not cancel one that is due

  Scenario: An old end of the log ends no replay
    When a gets k1, all settle, all restart, a has a read under way, a pauses
    And 30 other claims pass, the log drops records, a goes on, a reads once
    And a's read arrives, a reads, a gets k1
    Then r31 gets Taken by r0 with the same body

  Scenario: A claim that lost against an expired one never wins later
    When a gets k1, b gets k1, a flushes, b flushes, all settle
    And the claim period passes, 9 other claims pass
    And a gets k1, a flushes, the append is recorded, a reads
    Then r11 gets Granted
    When the log drops 1 records, all restart, all settle, all settle
    And a gets k1
    Then r12 gets Taken by r11 with the same body

  Scenario: A read that skips records is not taken in
    When a gets a read that skips records
    Then a has read nothing

  Scenario: A committer that has not replayed the log appends no claim
    When all restart, a gets k1, a flushes
    Then 0 appends were made
    When 6 seconds pass, a flushes
    Then r0 gets Unavailable

  Scenario: A key is new after the claim period, and its memory is freed
    When a gets k1, all settle, the claim period passes
    And a gets k1 with another body, all settle
    Then r1 holds k1
    When the claim period passes
    Then no committer remembers k1
    When a gets k1, b gets k1, a flushes, b flushes, all settle
    And the claim period passes, 9 other claims pass
    Then no committer remembers k1

  Scenario: A full committer rejects claims and forgets none
    When a has room for 2 claims, a gets k1, a gets k2, all settle, a gets k3
    Then r2 gets Unavailable
    When a gets k1
    Then r3 gets Taken by r0 with the same body

  Scenario: Claims of one window share an append
    Then 1000 claims of one window take 2 appends

  Scenario: A non-durable claim ends with its response
    Then a non-durable claim is held until its request completes

  Scenario: A departed agent moves only its own keys
    Then of 12 agents and 3 committers one leaves without moving other keys

  Scenario: No history of faults leads to a second run or a false answer
    Then 200 seeded histories of 150 steps hold
    And the state machine with 40 examples of 50 steps holds
