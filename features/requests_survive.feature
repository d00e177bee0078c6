Feature: Accepted requests survive crashes of the processes that serve them

  Guards against responses that are lost, truncated or duplicated when an
  engine, an agent or a connection fails during the response.

  Scenario Outline: <victim> <fault> during the response
    Given two zones with engines that need 20 ms for a token
    When a caller streams 100 tokens
    And the <victim> of the stream is <fault> after 10 tokens
    Then the caller receives the complete response to its prompt
    And all engine memory is released within 8 seconds

    Examples:
      | victim        | fault  |
      | decode engine | killed |
      | decode agent  | killed |
      | decode engine | frozen |
      | decode agent  | frozen |
      | decode engine | stalled |

  Scenario: A response survives consecutive crashes of its agents
    Given two zones with engines that need 20 ms for a token
    When a caller streams 300 tokens
    And each decode agent that serves the stream is killed, 2 in all
    Then the caller receives the complete response to its prompt

  Scenario: A connection that drops all packets is replaced
    Given two zones with TCP proxies in front of the agents
    When a caller streams 100 tokens
    And the open connections stop delivering data after 10 tokens
    Then the caller receives the complete response to its prompt
    And a caller that requests 5 tokens receives them

  Scenario: A caller that disconnects frees the engine within a second
    Given two zones with engines that need 20 ms for a token
    When a caller streams 200 tokens and disconnects after 5
    Then all engine memory is released within 1.5 seconds

  Scenario: A disconnect from a non-streamed request frees the engine
    Given two zones with engines that need 20 ms for a token
    When a caller requests a body of 200 tokens and leaves after 5
    Then all engine memory is released within 1.5 seconds

  Scenario: The crash of an entry frees the engine
    Given two zones with engines that need 20 ms for a token
    When a caller streams 200 tokens
    And the entry of the stream is killed after 5 tokens
    Then all engine memory is released within 3 seconds
