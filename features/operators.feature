Feature: What operators decide is in force everywhere within seconds

  Guards against withdrawn keys that keep working, drained zones that still
  get work, and changes that get lost while the log service is away.

  Background:
    Given two zones with engines that need 20 ms for a token

  Scenario: A withdrawn key stops working, open streams included
    When a caller streams 400 tokens
    And its key is withdrawn after 5 tokens
    Then the stream ends with "key_withdrawn" within 3 seconds
    And within 3 seconds every entry refuses the key

  Scenario: A zone that is taken out gets no new work after three seconds
    When a caller streams 150 tokens
    And the zone of the stream is drained after 5 tokens
    Then the whole answer to its own prompt arrives
    When 3 seconds have passed since the drain
    And 10 requests are sent through all entries
    Then all are answered and none ran in the drained zone
    When the zone is taken back in
    Then the zone gets work again within 10 seconds

  Scenario: A leaving agent gets no new work and cuts none
    When a caller streams 150 tokens
    And the agent of the stream is terminated after 5 tokens
    Then the whole answer to its own prompt arrives
    And it came from one decode run alone
    And the terminated agent has exited by itself

  Scenario: A leaving entry cuts no request
    When a caller streams 150 tokens
    And the entry of the stream is terminated after 5 tokens
    Then the whole answer to its own prompt arrives

  Scenario: Requests are served while the log service is down
    When the log service goes down
    And 12 seconds pass
    And 6 requests are sent through all entries
    Then all are answered
    When an agent is killed and started again while the log is down
    Then the agent has the configuration from a peer within 8 seconds
    When the log service is back
    And a key is withdrawn
    Then within 3 seconds every entry refuses the key

  Scenario: A fresh process starts from a snapshot when the log is short
    When the log keeps 60 records and 150 drains are published
    Then the log holds a snapshot within 20 seconds
    When an agent is killed and started again
    Then the agent has the configuration of the others within 8 seconds
