Feature: A model's upstreams are divided by what its requests need

  Guards against a pool that waits while the other has upstreams to spare:
  prompts of 3000 tokens with 1000 tokens of output fill the memory of three
  decode upstreams while three prefill upstreams are half idle.

  Scenario: Spare prefill upstreams join the decode pool
    Given 3 prefill and 3 decode upstreams of 39000 tokens
    When requests of 3200 and 1100 tokens are usual for 4 seconds
    Then one prefill upstream is ordered to decode
    And none is ordered while it changes
    When the list shows the change
    Then 2 prefill and 4 decode upstreams stay as they are

  Scenario: Long prompts with short answers bring upstreams back
    Given 1 prefill and 5 decode upstreams of 39000 tokens
    When requests of 8000 and 50 tokens are usual for 4 seconds
    Then one decode upstream is ordered to prefill

  Scenario: A short disturbance changes nothing
    Given 2 prefill and 4 decode upstreams of 39000 tokens
    When requests of 3200 and 1100 tokens are usual for 4 seconds
    And a prefill upstream is away for 2.5 seconds
    Then no upstream is ordered

  Scenario: The division is known before the first request
    Given 3 prefill and 3 decode upstreams of 39000 tokens
    And usual requests of 3200 and 1100 tokens in the settings
    When 4 seconds pass
    Then one prefill upstream is ordered to decode

  Scenario: An upstream that changes gets no work
    Given 3 prefill and 3 decode upstreams of 39000 tokens
    When requests of 3200 and 1100 tokens are usual for 4 seconds
    Then one prefill upstream is ordered to decode
    And no request is placed at it until the list shows the change

  Scenario: Neither pool is ever emptied
    Then 300 random divisions leave an upstream in each pool
