Feature: A repeated request gets the stored response whole or not at all

  Guards against half responses sent as whole ones, parts sent twice, and
  memory that grows with the number of responses.

  Scenario: A token stream is followed while it runs and read when finished
    Given a running stream with batches of 3, 2 and 4 tokens
    Then reading from 3 gives 6 tokens in state running
    Given it finished with reason stop
    Then reading from 0 gives 9 tokens in state finished

  Scenario: No sequence of writes breaks the bound or a response
    Then the response machine with 80 examples of 60 steps holds
