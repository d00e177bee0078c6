Feature: A repeated request gets the stored response whole or not at all

  Guards against half responses sent as whole ones, parts sent twice, and
  memory that grows with the number of responses.

  Scenario: A token stream is followed while it runs and read when finished
    Given a running stream with batches of 3, 2 and 4 tokens
    Then reading from 3 gives 6 tokens in state running
    When it finishes with reason stop
    Then reading from 0 gives 9 tokens in state finished

  Scenario: A service response keeps status, headers and every byte
    Given a finished service response in two pieces
    Then reading from the middle of a piece gives exactly the rest

  Scenario: A stream with a gap is lost
    Given a running stream with batches of 3, 2 and 4 tokens
    When a batch comes that begins at 12
    Then reading from 0 gives 0 tokens in state lost

  Scenario: An earlier run cannot write into its successor's response
    Given a running stream with batches of 3, 2 and 4 tokens
    When a batch of another request comes
    Then reading from 0 gives 9 tokens in state running

  Scenario: No sequence of writes breaks the bound or a response
    Then the response machine with 80 examples of 60 steps holds
