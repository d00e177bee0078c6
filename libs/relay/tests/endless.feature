Feature: Answers without end are aborted in time

  Guards against upstreams that send single bytes slowly, or endless bytes
  that never complete a head, a body or an event: they would occupy a request,
  its placement and memory for ever.

  Scenario Outline: A head without end
    Given an upstream that answers with <answer>
    When a request is sent to it with 0.6 seconds left
    Then the attempt is lost within 0.8 seconds
    And the connection is closed, and less than 1 megabyte was read

    Examples:
      | answer                         |
      | a byte of a head now and then  |
      | a status line without end      |
      | a header without end           |
      | headers without end            |
      | interim answers without end    |
      | interim answers now and then   |

  Scenario Outline: A body without end
    Given an upstream that answers with <answer>
    When the answer to a request is read with 0.6 seconds left
    Then reading fails within 0.8 seconds
    And the connection is closed, and less than 40 megabytes were read

    Examples:
      | answer                          |
      | a byte of a body now and then   |
      | a body without length or end    |
      | chunks without end              |
      | a chunk size without end        |
      | trailers without end            |

  Scenario Outline: An event without end
    Given an upstream that answers with <answer>
    When its events are read, each within 0.5 seconds
    Then reading fails within 0.8 seconds
    And the connection is closed, and less than 3 megabytes were read

    Examples:
      | answer                           |
      | an event without end             |
      | a byte of an event now and then  |

  Scenario: A slow stream with complete events is not aborted
    Given an upstream that answers with a whole event every 0.3 seconds
    When its events are read, each within 0.5 seconds
    Then all 6 events arrive

  Scenario: Freeing a KV cache at an upstream that answers slowly ends in time
    Given an upstream that answers with a byte of a body now and then
    When a KV cache is freed there
    Then the call ends within 0.8 seconds
