Feature: A request is served from end to end by separate processes

  Guards against components that work alone but fail when combined.

  Scenario: A streamed and a non-streamed response are complete and correct
    Given the smallest deployment
    When a caller requests 20 tokens as a stream
    Then the caller receives the complete response to its prompt
    When a caller requests 20 tokens without streaming
    Then the caller receives the complete response to its prompt
    And all engine memory is released within 3 seconds

  Scenario: A plain service receives the request without the API key
    Given the smallest deployment
    When a caller posts an order
    Then the service executed it once
    And no upstream received the API key

  Scenario: A request with an unknown API key is rejected and not executed
    Given the smallest deployment
    When a caller with an unknown API key posts an order
    Then the response has code "key_unknown" and outcome "not_run"
    And the service executed no request

  Scenario: A mixed load has no lost and no duplicated requests
    Given the smallest deployment
    When 60 mixed requests are sent with seed 7
    Then every accepted request got a complete response
    And no request ran twice and no rejected request ran

  Scenario: The operator commands show every process and every step of a request
    Given the smallest deployment
    When a caller requests 20 tokens as a stream
    Then the status command lists 4 processes at the same log offset
    And the timeline command shows the request at the entry and an agent
