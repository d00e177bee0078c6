Feature: Accepted requests survive the death of the processes that run them

  Guards against answers that are lost, cut short or doubled when an engine,
  an agent or a connection fails in mid-answer.

  Scenario Outline: <victim> <fault> in mid-answer
    Given two zones with engines that need 20 ms for a token
    When a caller streams 100 tokens
    And the <victim> of the stream is <fault> after 10 tokens
    Then the whole answer to its own prompt arrives
    And no engine memory is held within 8 seconds

    Examples:
      | victim        | fault  |
      | decode engine | killed |
      | decode agent  | killed |
      | decode engine | frozen |
      | decode agent  | frozen |
      | decode engine | stalled |

  Scenario: An answer survives the death of its agents one after the other
    Given two zones with engines that need 20 ms for a token
    When a caller streams 300 tokens
    And each decode agent that runs the stream is killed, 2 in all
    Then the whole answer to its own prompt arrives

  Scenario: A connection that goes silent for good is replaced
    Given two zones with relays before the agents
    When a caller streams 100 tokens
    And the open connections go silent after 10 tokens
    Then the whole answer to its own prompt arrives
    And a caller that asks for 5 tokens gets them

  Scenario: A caller that goes away frees the engine within a second
    Given two zones with engines that need 20 ms for a token
    When a caller streams 200 tokens and goes away after 5
    Then no engine memory is held within 1.5 seconds

  Scenario: A caller that goes away while it waits for one body frees it, too
    Given two zones with engines that need 20 ms for a token
    When a caller asks for a body of 200 tokens and goes away after 5
    Then no engine memory is held within 1.5 seconds

  Scenario: The death of an entry frees the engine
    Given two zones with engines that need 20 ms for a token
    When a caller streams 200 tokens
    And the entry of the stream is killed after 5 tokens
    Then no engine memory is held within 3 seconds
