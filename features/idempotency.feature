Feature: A request with an idempotency key runs once, repeats are answered

  Guards against requests that run twice because an entry, an agent, the log
  or a response of the log was lost, and against repeats without a response.

  Scenario: A repeated order gets the first response
    Given two zones whose services take 20 ms
    When an order with the key "k1" is sent through entry 0
    And the same order with the key "k1" is sent through entry 1
    Then both responses are identical and complete
    And the order ran once

  Scenario: An order that is sent through both entries at once runs once
    Given two zones whose services take 800 ms
    When an order with the key "k1" is sent through both entries at once
    Then both responses are identical and complete
    And the order ran once

  Scenario: A different body with a used key is rejected
    Given two zones whose services take 20 ms
    When an order with the key "k1" is sent through entry 0
    And another order with the key "k1" is sent through entry 1
    Then the last response has code "idempotency_key_reused", outcome "not_run"
    And the services ran 1 request

  Scenario: Idempotency keys are scoped to a client account
    Given two zones and two accounts whose services take 20 ms
    When an order with the key "k1" is sent through entry 0
    And another account sends the same order with the key "k1"
    Then the services ran 2 requests

  Scenario: The idempotency key is sent neither to the service nor to the log
    Given two zones whose services take 20 ms
    When an order with the key "very-secret-key" is sent through entry 0
    Then the text "very-secret-key" is in no request to a service and no record

  Scenario: A request on a route without authentication ignores the key
    Given two zones whose services take 20 ms
    When an unauthenticated request with the key "k1" is sent twice
    Then the services ran 2 requests

  Scenario: The entry crashes during a call and the caller retries
    Given two zones whose services take 2500 ms
    When an order with the key "k1" is started through entry 0
    And a service executes it
    And entry 0 is killed
    And the same order with the key "k1" is sent through entry 1
    Then the last response is complete
    And the order ran once

  Scenario: The caller disconnects during a call and retries
    Given two zones whose services take 2500 ms
    When a caller sends an order with the key "k1" and disconnects early
    And the same order with the key "k1" is sent through entry 1
    Then the last response is complete
    And the order ran once

  Scenario: The entry and the agent crash during a call
    Given two zones whose services take 2500 ms
    When an order with the key "k1" is started through entry 0
    And a service executes it
    And the agent that runs it is killed
    And entry 0 is killed
    And the same order with the key "k1" is sent through entry 1
    Then the last response has code "outcome_unknown", outcome "unknown"
    And the order ran once

  Scenario: The log is down
    Given two zones whose services take 20 ms
    When the log goes down
    And an order with the key "k1" is sent through entry 0
    Then the last response has code "claim_unavailable", outcome "not_run"
    And the last response has a Retry-After header
    And the services ran 0 requests
    When the log goes up
    And the same order with key "k1" is retried while claims are unavailable
    Then the last response is complete
    And the order ran once

  Scenario: The response to the append of a claim is lost
    Given two zones whose services take 20 ms
    When the log drops the response to its next append
    And an order with the key "k1" is sent through entry 0
    Then the last response is complete
    And the order ran once

  Scenario: The committer crashes while the log is slow
    Given two zones whose services take 20 ms
    When the log is delayed by 1500 ms
    And an order with the key "k1" is started through entry 0
    And the committer of the key "k1" is killed after 0.7 seconds
    Then the first response has code "claim_unavailable", outcome "not_run"
    When the log is delayed by 0 ms
    And the log has recorded the claim
    And the same order with key "k1" is retried while claims are unavailable
    Then the last response is complete
    And the order ran once

  Scenario: An order without a key runs every time
    Given two zones whose services take 20 ms
    When an order without a key is sent twice
    Then the services ran 2 requests

  Scenario: A lookup with a key that is sent through both entries runs once
    Given two zones whose services take 800 ms
    When a lookup with the key "k1" is sent through both entries at once
    Then both responses are identical and complete
    And the services ran 1 request

  Scenario: A lookup whose agent crashed runs again
    Given two zones whose services take 2500 ms
    When a lookup with the key "k1" is started through entry 0
    And a service executes it
    And the agent that runs it is killed
    And entry 0 is killed
    And a lookup with the key "k1" is sent through entry 1
    Then the last response is complete

  Scenario: The entry of a stream crashes and the repeat resumes the stream
    Given two zones with a grace period of 2 s and tokens of 20 ms
    When a keyed completion of 250 tokens is started through entry 0
    And its decode has produced 20 tokens
    And entry 0 is killed
    And the same completion is sent through entry 1
    Then the repeat receives the complete text
    And the engines started one decode of it

  Scenario: The caller of a stream disconnects and retries
    Given two zones with engines that need 20 ms for a token
    When the caller of a keyed completion of 150 tokens disconnects after 10
    And the same completion is sent through entry 1
    Then the repeat receives the complete text
    And the engines started one decode of it

  Scenario: A finished completion is answered from the stored response
    Given two zones with engines that need 2 ms for a token
    When a keyed non-streamed completion is sent through each entry in turn
    Then both have the same text and usage
    And the engines started one decode of it

  Scenario: The decode agent of a keyed stream crashes and the claim fails over
    Given two zones with engines that need 20 ms for a token
    When a keyed completion of 150 tokens is started through entry 0
    And its decode has produced 20 tokens
    And the agent of its decode is killed
    And its decode fails over to the other engine
    And the same completion is sent through entry 1
    Then the first completion receives the complete text
    And the repeat receives the complete text
    And the engines started at most 2 decodes of it
