Feature: Bodies and unsent answers take from one budget of memory

  Guards against a relay that is killed for its memory, or that stops to read
  an upstream, because callers read slowly or send large bodies.

  Scenario: 500 slow readers on an instance of 128 MB
    Guards against answers that together exceed the memory, and against short
    answers that wait because of long ones.
    Given a budget of an instance with 128 MB
    When 500 answers of 2000000 bytes arrive at the same pace
    And their callers read 20000 bytes a second
    Then the answers never hold more than their share and a piece each
    And each of the 500 holds at least 32768 bytes at the end
    And another answer may hold 16384 bytes

  Scenario: Many large bodies arrive at once
    Guards against large bodies that exceed the memory (review/4).
    Given a budget of an instance with 128 MB
    When 100 bodies of 4000000 bytes arrive
    Then those that are held fit into the budget and the others are rejected
    And a rejected request may return within 2 seconds
    And a body of 8192 bytes fits
    And another answer may hold 1000000 bytes

  Scenario: One giant reader does not starve small ones
    Guards against an answer of an endless stream that takes the whole budget.
    Given a budget of an instance with 128 MB
    When one answer grows until it has to wait
    Then it holds at most half of the budget
    And 100 answers of 100000 bytes do not wait
    And a body of 4000000 bytes fits

  Scenario: The largest answer waits first
    Given a budget of an instance with 128 MB
    When answers hold 12000000, 6000000 and 400000 bytes
    Then only the first one waits

  Scenario: Answers that are partly read do not wait for one another for ever
    Guards against a deadlock of answers that free memory only when complete.
    Given a budget of an instance with 128 MB
    When 60 whole answers of 3000000 bytes arrive in pieces of 65536 bytes
    Then all of them are read in the end
    And the answers never hold more than their share and one answer

  Scenario: An attempt that fails gives its memory back
    Guards against memory that is lost with each answer that breaks off.
    Given the memory of an instance with 128 MB
    When a whole answer of 4000000 bytes breaks off after 1000000
    Then nothing is held

  Scenario: An upstream is not blamed for an answer that waited for memory
    Guards against upstreams that are suspended because this relay stopped
    reading their answers.
    Given the memory of an instance with 128 MB
    When an attempt is lost
    Then it is reported as "lost"
    When bodies and answers hold the whole budget
    And an attempt waits for memory and is lost
    Then it is reported as "cancelled"

  Scenario: A caller that disconnects gives its memory back
    Guards against memory that is lost with each caller that goes away.
    Given a server for callers with the memory of an instance with 128 MB
    When a caller reads nothing of an answer of 8000000 bytes
    And a caller sends half of a body of 4000000 bytes
    Then 12000000 bytes are held but for those in the kernel
    When both callers disconnect
    Then nothing is held

  Scenario: A connection that closes frees the bodies behind its request
    Guards against memory that is lost with each caller that sends a second
    request ahead and goes away.
    Given a connection with the memory of an instance with 128 MB
    When a request and a body of 4000000 bytes arrive on it
    Then 4000000 bytes of bodies are held
    When the connection closes
    Then nothing is held

  Scenario: A wait for memory that ends without a reader frees the bodies
    Guards against a request that is neither served nor closed.
    Given a connection with the memory of an instance with 128 MB
    When a request and a body of 4000000 bytes arrive on it
    And the first is served and its answer is not read
    Then nothing is held

  Scenario: A caller that is gone before it may send its body
    Guards against memory that is taken again for a closed connection.
    Given a connection with the memory of an instance with 128 MB
    And its caller is gone
    When a body of 4000000 bytes that expects a permission arrives on it
    Then nothing is held

  Scenario: A stream that breaks off is no complete answer for an old caller
    Guards against a caller with HTTP 1.0 that takes a part for the whole.
    Given a server for callers with the memory of an instance with 128 MB
    When a caller with HTTP 1.0 requests a stream that breaks off
    Then its connection is reset after the first event

  Scenario: A body that does not fit is read and rejected
    Guards against a caller whose connection is reset before it has read that
    its request did not run.
    Given a server for callers with the memory of an instance with 128 MB
    And bodies hold 27000000 bytes
    When a caller sends a body of 4000000 bytes on a kept connection
    Then it is told that there was no memory
    When the bodies are freed
    And a caller sends a body of 4000000 bytes on a kept connection
    Then it gets the digest of its body
    And nothing is held

  Scenario: The memory of the instance is unknown
    Guards against a change of deployments without the setting.
    Given a budget of an instance with 0 MB
    Then an answer may hold 1048576 bytes, and not one more
    And 100 bodies of 4000000 bytes fit

  Scenario: Exhaustion is reported once, and its end
    Guards against a log line for each request.
    Given a budget of an instance with 128 MB
    When requests are rejected for 5 seconds
    Then "exhausted" is reported at 0 seconds and "free" at 7 seconds

  Scenario: A large answer that waits does not exhaust the budget
    Guards against an alarm while half of the budget is free.
    Given the memory of an instance with 128 MB
    When answers hold 13600000 bytes and the largest one waits
    Then the budget does not count as exhausted
    When answers hold 27000000 bytes and the largest one waits
    Then the budget counts as exhausted

  Scenario: A queue of bytes keeps their order
    Guards against bytes that are lost or sent twice when pieces are joined or
    split.
    When 300 random pieces pass through a queue of bytes
    Then they leave it unchanged
