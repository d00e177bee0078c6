Feature: Measured performance of upstreams

  # Failures that these scenarios guard against: a new coordinator that fills
  # slow upstreams like fast ones until it has measured them itself; a limit
  # that changes without a trace; reports without a bound.

  Scenario: A relay reports what it measured to a new coordinator
    Given a relay whose streams at upstream one had 10 events in 400 ms
    And whose plain requests at upstream two took 0.25 seconds
    And whose prefills at upstream three took 0.1 seconds for 3200 tokens
    When it reports its state to a coordinator on another relay
    Then the coordinator learns 40 ms for an event of one
    And the coordinator learns 0.25 seconds for a request to two
    And the coordinator learns 32 tokens a millisecond for three

  Scenario: A relay that does not learn reports nothing
    Given a relay whose streams at upstream one had 10 events in 400 ms
    And it does not learn the performance of upstreams
    When it reports its state to a coordinator on another relay
    Then it reports no performance

  Scenario: Reports are bounded and recent
    Given a relay that measured 400 upstreams
    Then it reports the 256 newest ones
    And none of them after 31 seconds

  Scenario: Failed and cancelled attempts measure nothing
    Given a relay whose attempts at upstream one failed after 3 seconds
    When it reports its state to a coordinator on another relay
    Then it reports no performance

  Scenario: The end of a stream carries its pace
    Given a relay with a link to its coordinator
    When one of its streams ends after 70 events in 2800 ms
    Then the coordinator is told 70 events in 2800 ms
    And an end from an older relay counts as unmeasured

  Scenario: Each change of a limit is logged once and shown as a metric
    Given a coordinator whose upstream turns 4 times slower than its pool
    Then one line for each change of its limit is logged
    And the metrics show its limit

  Scenario: A busy coordinator does not delay heartbeats
    Given a relay whose coordinator does not answer
    When it updates the metrics of the limits
    Then that takes less than 1 second and the limits shown stay
