Feature: Streams are forwarded in complete events

  Guards against events that are truncated, joined from two attempts, or
  forwarded as complete although the upstream aborted inside them.

  Scenario: Streams are split at event ends, however the bytes arrive
    Then 500 random streams in random parts are forwarded complete and in order

  Scenario: The id of the last complete event is known
    Given a stream of 5 events with ids, truncated inside the fourth
    Then the events up to the third are forwarded
    And the stream would be resumed after the third

  Scenario: Events without ids are forwarded
    Given a stream of 2 events without ids
    Then both are forwarded and no id is known

  Scenario: An id ends at its line's end, also at a lone carriage return
    When an event arrives whose id line ends with a lone carriage return
    Then its id is the text before the carriage return

  Scenario: The pace of a stream is that of the events after the first ones
    Given a stream whose first events come after 3 seconds
    When 8 events follow in blocks of 2, each block after 0.2 seconds
    Then its pace is 8 events in 800 ms

  Scenario: The pace of a caller that reads slowly is not taken for the upstream's
    Given a stream whose first events come after 0.1 seconds
    When 8 events follow in blocks of 2, each block after 0.2 seconds
    And the caller takes 0.3 seconds to read
    Then its pace is unmeasured
