Feature: A request is served from end to end by separate processes

  Guards against parts that work alone but not together.

  Scenario: A streamed and a whole answer are complete and correct
    Given the smallest system
    When a caller asks for 20 tokens as a stream
    Then the whole answer to its own prompt arrives
    When a caller asks for 20 tokens as one body
    Then the whole answer to its own prompt arrives
    And no engine memory is held within 3 seconds

  Scenario: A plain service sees the request but not the key
    Given the smallest system
    When a caller posts an order
    Then the service ran it once
    And no upstream saw the key

  Scenario: An unknown key is refused as not run
    Given the smallest system
    When a caller with an unknown key posts an order
    Then the refusal is "key_unknown" with outcome "not_run"
    And the service ran nothing

  Scenario: A mixed load has no lost and no doubled request
    Given the smallest system
    When 60 mixed requests are sent with seed 7
    Then every accepted request was answered in full
    And nothing was doubled and every refusal was not run

  Scenario: Operators see every process and every step of a request
    Given the smallest system
    When a caller asks for 20 tokens as a stream
    Then the status command lists 4 processes at the same offset
    And the timeline command shows the request at entry and agents
