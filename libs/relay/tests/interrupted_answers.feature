Feature: An answer that the relay itself interrupts is not whole

  Guards against a part of an answer that callers take for all of it: an answer
  without a length ends with its connection, which also ends for its reader if
  the relay shuts it down because the request's time is over, its caller has
  disconnected or its upstream was silent.

  Scenario Outline: An answer is interrupted in the middle
    Given an upstream that sends half of an answer <framing>
    When the request is cancelled <moment>
    Then reading the answer fails

    Examples:
      | framing          | moment                       |
      | without a length | while its answer is read     |
      | without a length | before its answer is read on |
      | in chunks        | while its answer is read     |
      | in chunks        | before its answer is read on |
      | with a length    | while its answer is read     |
      | with a length    | before its answer is read on |

  Scenario: A silent stream without a length is closed for its substitute
    Guards against a stream that ends as complete in the middle, since its
    substitute rejected the request after the stream had been closed.
    Given an upstream that sends half of an answer without a length
    When its stream is closed for a substitute
    Then reading the answer fails

  Scenario Outline: An answer whose end has arrived stays whole
    Guards against sound answers that are lost because their request is
    cancelled before the relay has read them to their end.
    Given an upstream that sends a whole answer <framing> and closes
    When the request is cancelled <times> once the end has arrived
    Then the answer is read as a whole

    Examples:
      | framing          | times |
      | without a length | once  |
      | without a length | twice |
      | in chunks        | once  |
      | with a length    | once  |

  Scenario: An answer that was reset before it is interrupted is not whole
    Given an upstream that resets an answer without a length in the middle
    When the request is cancelled once the end has arrived
    Then reading the answer fails

  Scenario: An answer without a length that ends before its time is over is whole
    Given an upstream that sends a whole answer without a length after 0.6 seconds
    When 20 answers are read with 1.0 seconds left while requests are watched
    Then each of them is whole

  Scenario: A request that is cancelled after its answer interrupts no other
    Guards against the end of an answer to another request, which has got the
    connection from the pool by then.
    Given an upstream that answers each request on a kept connection
    When the answer to a request is read and its connection serves another
    And the first request is cancelled
    Then the other request is answered

  Scenario: A connection that was interrupted serves no other request
    Given an upstream that answers each request on a kept connection
    When a request is cancelled when its answer is read and before its connection is returned
    Then the next request gets a new connection

  Scenario: A connection is returned when an interrupt that has begun is over
    Guards against a connection that is shut down for a request which has
    returned it: its interrupt began before the return.
    Given a request whose interrupt takes 0.3 seconds
    When the request is cancelled and then ends its interrupt
    Then the interrupt was over before
