Feature: A model's upstreams are rebalanced between prefill and decode

  Guards against a bottleneck in one pool while the other has spare
  upstreams: prompts of 3000 tokens with 1000 tokens of output fill the
  memory of three decode upstreams while three prefill upstreams are half
  idle.

  Scenario: Spare prefill upstreams join the decode pool
    Given 3 prefill and 3 decode upstreams of 39000 tokens
    When requests average 3200 and 1100 tokens for 4 seconds
    Then one prefill upstream is ordered to decode
    And none is ordered while it changes
    When the list shows the change
    Then 2 prefill and 4 decode upstreams remain unchanged

  Scenario: Long prompts with short answers bring upstreams back
    Given 1 prefill and 5 decode upstreams of 39000 tokens
    When requests average 8000 and 50 tokens for 4 seconds
    Then one decode upstream is ordered to prefill

  Scenario: A short outage changes nothing
    Given 2 prefill and 4 decode upstreams of 39000 tokens
    When requests average 3200 and 1100 tokens for 4 seconds
    And a prefill upstream is down for 2.5 seconds
    Then no upstream is ordered

  Scenario: The settings determine the split before the first request
    Given 3 prefill and 3 decode upstreams of 39000 tokens
    And expected requests of 3200 and 1100 tokens in the settings
    When 4 seconds pass
    Then one prefill upstream is ordered to decode

  Scenario: An upstream that changes gets no requests
    Given 3 prefill and 3 decode upstreams of 39000 tokens
    When requests average 3200 and 1100 tokens for 4 seconds
    Then one prefill upstream is ordered to decode
    And no request is placed at it until the list shows the change

  Scenario: Neither pool becomes empty
    Then 300 random splits leave an upstream in each pool
