Feature: A repeated request gets the complete stored response or none

  Guards against incomplete responses sent as complete ones, parts sent
  twice, and memory that grows with the number of responses.

  Scenario: A token stream can be read while it runs and after it has finished
    Given a running stream with batches of 3, 2 and 4 tokens
    Then reading from 3 gives 6 tokens in state running
    Given it finishes with reason stop
    Then reading from 0 gives 9 tokens in state finished

  Scenario: No sequence of writes breaks the memory limit or a response
    Then the response machine with 80 examples of 60 steps passes
