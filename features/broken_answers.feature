Feature: No caller gets a part of an answer as the whole one

  Guards against callers that take the beginning of an answer for all of it,
  because the service reset its connection while the request was still being
  written, and against statuses that no caller can interpret. Runs entry and
  agent processes against a faulty service.

  Scenario: A part of an answer that a reset cut off is not complete
    Given the smallest deployment with a faulty service
    Then with these faults no body of 100, 100000, 4000000 and 8000000 bytes gets a complete answer with status 200
      | fault           | framing | upload        |
      | early_reset     | none    | with a length |
      | early_reset     | none    | in chunks     |
      | early_reset     | chunks  | with a length |
      | early_reset     | length  | with a length |
      | midway_reset    | none    | with a length |
      | last_byte_reset | none    | with a length |
      | late_reset      | none    | with a length |
      | late_reset      | none    | in chunks     |
      | half_head       | none    | with a length |

  Scenario: A caller with HTTP 1.0 recognises an answer that broke off
    Guards against the end of a connection that looks like the end of an answer
    whose length is not stated.
    Given the smallest deployment with a faulty service
    And the service sends 200000 bytes of an answer and resets the connection
    When 5 orders are sent with HTTP 1.0
    Then each connection that carried a status 200 was reset

  Scenario: A caller with HTTP 1.0 gets a whole answer
    Given the smallest deployment with a faulty service
    When 5 orders are sent with HTTP 1.0
    Then each got the whole answer

  Scenario Outline: An answer without a length that outlasts its request is not complete
    Guards against an end that entry or agent make themselves and that looks
    like the end of the service's answer.
    Given the smallest deployment with a faulty service and a time-out of 1000 ms
    When 48 orders <key> get an answer without a length that takes 1.5 seconds
    Then none got a complete answer with status 200, and some ran

    Examples:
      | key         |
      | without key |
      | with a key  |

  Scenario: An answer without a length that ends in time is whole
    Given the smallest deployment with a faulty service and a time-out of 10000 ms
    When 12 orders without key get an answer without a length that takes 0.8 seconds
    Then each that ran got the answer in 20 parts as a whole

  Scenario: The entry adds no statement of its own to a status of the service
    Guards against callers that take the status of a service for the entry's
    statement that nothing ran, which is the outcome `not_run` alone.
    Given the smallest deployment with a faulty service
    Then orders that ran get the statuses 408, 421, 429 and 503 with the body of the service

  Scenario: A status outside 200 to 599 reaches no caller
    Given the smallest deployment with a faulty service
    Then bodies of 100 and 4000000 bytes get a typed error with status 502 for the statuses 000, 099, 103, 600 and 999

  Scenario Outline: A malformed answer reaches no caller
    Guards against an answer whose body or headers are not those of the
    service.
    Given the smallest deployment with a faulty service
    Then none of the <answers> gets a complete answer with status 200

    Examples:
      | answers           |
      | malformed lines   |
      | malformed names   |
      | malformed chunks  |
      | truncated answers |

  Scenario Outline: A request whose answer is malformed is not run again
    Guards against a second run of a request that must not be repeated, and
    against a caller that is left without an answer.
    Given the smallest deployment with a faulty service
    Then each request with one of the <answers> runs once and gets a typed error with status 502

    Examples:
      | answers         |
      | malformed lines |
      | malformed names |

  Scenario: A sound answer that is unusual reaches its caller
    Given the smallest deployment with a faulty service
    Then each request with one of the sound answers gets a whole answer

  Scenario Outline: Bytes without end cost the requests of others nothing
    Guards against a process that keeps what a faulty service sends without
    end, and ends with the requests of others when its memory does.
    Given the smallest deployment with a faulty service
    When 12 orders <key> get <answer> without end, and their callers read nothing
    Then entry and agent used no more than 150 megabytes each
    And other orders are answered

    Examples:
      | answer                  | key         |
      | a body without a length | without key |
      | a body without a length | with a key  |
      | chunks of a byte        | without key |
      | chunks of a byte        | with a key  |
      | a header                | without key |
      | interim answers         | without key |
