Feature: Operator changes take effect on every instance within seconds

  Guards against withdrawn keys that are still accepted, drained zones that
  still get requests, and changes lost while the log service is unavailable.

  Background:
    Given two zones with engines that need 20 ms for a token

  Scenario: A withdrawn key is rejected and its open streams are ended
    When a caller streams 400 tokens
    And its key is withdrawn after 5 tokens
    Then the stream ends with "key_withdrawn" within 3 seconds
    And within 3 seconds every entry rejects the key

  Scenario: A drained zone gets no new requests after three seconds
    When a caller streams 150 tokens
    And the zone of the stream is drained after 5 tokens
    Then the caller receives the complete response to its prompt
    When 3 seconds have passed since the drain
    And 10 requests are sent through all entries
    Then all are answered and none ran in the drained zone
    When the drain of the zone is undone
    Then the zone gets requests again within 10 seconds

  Scenario: An agent that shuts down gets no new requests and cuts none
    When a caller streams 150 tokens
    And the agent of the stream is terminated after 5 tokens
    Then the caller receives the complete response to its prompt
    And it was produced by a single decode run
    And the terminated agent has exited by itself

  Scenario: An entry that shuts down cuts no request
    When a caller streams 150 tokens
    And the entry of the stream is terminated after 5 tokens
    Then the caller receives the complete response to its prompt

  Scenario: Requests are served while the log service is down
    When the log service goes down
    And 12 seconds pass
    And 6 requests are sent through all entries
    Then all are answered
    When an agent is killed and restarted while the log is down
    Then the agent has the configuration from a peer within 8 seconds
    When the log service is up again
    And a key is withdrawn
    Then within 3 seconds every entry rejects the key

  Scenario: A restarted process loads a snapshot when old log records are gone
    When the log retains 60 records and 150 drains are published
    Then the log holds a snapshot within 20 seconds
    When an agent is killed and restarted
    Then the agent has the configuration of the others within 8 seconds
