Feature: At most one request runs for an idempotency key

  Guards against bookings made twice: by committers that both believe to own
  a key, by appends whose responses are lost, by paused or restarted
  committers, and by records that the log has dropped.

  Scenario: Of two committers only the one that comes first in the log grants
    Given a request with key k1 at each of two committers
    When both appends are recorded and read
    Then one request is granted and the other is told who holds the key

  Scenario: A claim is not granted before the log shows it
    Given a request with key k1 whose append is recorded
    Then it has no answer
    When its committer reads the log
    Then the answer is Granted

  Scenario: A lost response is settled by reading back, not by appending again
    Given a request with key k1 whose append is lost
    When its committer reads the log
    Then the answer is Granted
    And one append was made

  Scenario: An append that the log does not show is repeated unchanged
    Given a request with key k1 whose append is timeout
    When its committer reads the log and a second passes
    Then the same claims are appended again

  Scenario: A definite failure is told as not_run with a time to retry
    Given a request with key k1 whose append is refused
    Then the answer is Unavailable
    And it says not_run and when to retry

  Scenario: A rejected request's claim blocks neither its key nor its body
    Given a request with key k1 whose append is lost
    When the request's deadline passes
    Then the answer is Unavailable
    When its committer reads the log
    And another request with key k1 and the same body is served
    Then the answer is Granted
    When another request with key k1 and another body is served
    Then the answer is Taken with another body

  Scenario: A committer that was paused grants nothing past the deadline
    Given a request with key k1 whose append is recorded
    When the request's deadline passes unnoticed
    And its committer reads the log
    Then the answer is Unavailable

  Scenario: A restarted committer knows claims whose records were dropped
    Given a request with key k1 whose append is recorded
    When its committer reads the log
    Then the answer is Granted
    When 30 other claims pass and the log keeps 24 records
    And every committer is restarted
    And another request with key k1 and the same body is served
    Then the answer is Taken with the same body

  Scenario: A committer that has not replayed the log appends no claim
    Given a request with key k1 at a committer that read nothing
    When a second passes without a read
    Then no append was made
    And the answer is Unavailable

  Scenario: Claims of one window share an append
    Given 1000 claims within one window and batches of 500
    Then 2 appends hold them all

  Scenario: A key is new after the claim period, and its memory is freed
    Given a request with key k1 whose append is recorded
    When its committer reads the log
    And the claim period passes
    And another request with key k1 and another body is served
    Then the answer is Granted
    When the claim period passes
    And 30 other claims pass and the log keeps 24 records
    And the claim period passes
    Then no committer holds key k1

  Scenario: A full committer rejects claims and forgets none
    Given a committer with room for 2 claims that holds 2
    When a third key comes
    Then it is rejected and the 2 claims are still held

  Scenario: A non-durable claim ends with its response
    Given a non-durable claim for key k1
    Then a repeat with the same body is taken and with another body too
    When the request completes
    Then a repeat with the same body is granted

  Scenario: A departed agent moves only its own keys
    Given 12 service agents and 3 committers
    When one committer leaves
    Then two committers stay and every key of theirs with them

  Scenario: No history of faults leads to a second run or a false answer
    Then 400 seeded histories of 150 steps keep every promise
    And the state machine with 60 examples of 50 steps holds
