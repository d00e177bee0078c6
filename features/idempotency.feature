Feature: Work with an idempotency key runs once and answers every repeat

  Guards against bookings that run twice because an entry, an agent, the log
  or an answer of the log was lost, and against repeats that get no answer.

  Scenario: A repeated order gets the first answer
    Given two zones whose services take 20 ms
    When an order with the key "k1" is sent through entry 0
    And the same order with the key "k1" is sent through entry 1
    Then both answers are the same and whole
    And the order ran once

  Scenario: An order that is sent through both entries at once runs once
    Given two zones whose services take 800 ms
    When an order with the key "k1" is sent through both entries at once
    Then both answers are the same and whole
    And the order ran once

  Scenario: Another body under a known key is refused
    Given two zones whose services take 20 ms
    When an order with the key "k1" is sent through entry 0
    And another order with the key "k1" is sent through entry 1
    Then the last answer is the failure "idempotency_key_reused" with "not_run"
    And the services ran 1 request

  Scenario: A key belongs to its client account
    Given two zones and two accounts whose services take 20 ms
    When an order with the key "k1" is sent through entry 0
    And another account sends the same order with the key "k1"
    Then the services ran 2 requests

  Scenario: The key itself reaches neither the service nor the log
    Given two zones whose services take 20 ms
    When an order with the key "very-secret-key" is sent through entry 0
    Then the text "very-secret-key" is in no request to a service and no record

  Scenario: A request on an open route runs although its key was used
    Given two zones whose services take 20 ms
    When an open request with the key "k1" is sent twice
    Then the services ran 2 requests

  Scenario: The entry dies in mid-call and the caller comes again
    Given two zones whose services take 2500 ms
    When an order with the key "k1" is begun through entry 0
    And its service runs it
    And entry 0 is killed
    And the same order with the key "k1" is sent through entry 1
    Then the last answer is whole
    And the order ran once

  Scenario: The caller goes away in mid-call and comes again
    Given two zones whose services take 2500 ms
    When a caller sends an order with the key "k1" and goes away in mid-call
    And the same order with the key "k1" is sent through entry 1
    Then the last answer is whole
    And the order ran once

  Scenario: The entry and the agent die in mid-call
    Given two zones whose services take 2500 ms
    When an order with the key "k1" is begun through entry 0
    And its service runs it
    And the agent that runs it is killed
    And entry 0 is killed
    And the same order with the key "k1" is sent through entry 1
    Then the last answer is the failure "outcome_unknown" with "unknown"
    And the order ran once

  Scenario: The log is down
    Given two zones whose services take 20 ms
    When the log goes down
    And an order with the key "k1" is sent through entry 0
    Then the last answer is the failure "claim_unavailable" with "not_run"
    And the last answer says when to come again
    And the services ran 0 requests
    When the log goes up
    And the same order with the key "k1" is sent until it gets an answer
    Then the last answer is whole
    And the order ran once

  Scenario: The answer to the append of a claim is lost
    Given two zones whose services take 20 ms
    When the log loses the answer to the next append
    And an order with the key "k1" is sent through entry 0
    Then the last answer is whole
    And the order ran once

  Scenario: The committer dies while the log is slow
    Given two zones whose services take 20 ms
    When the log is slower by 1500 ms
    And an order with the key "k1" is begun through entry 0
    And the committer of the key "k1" is killed after 0.7 seconds
    Then the first answer is the failure "claim_unavailable" with "not_run"
    When the log is slower by 0 ms
    And the log has recorded the claim
    And the same order with the key "k1" is sent until it gets an answer
    Then the last answer is whole
    And the order ran once

  Scenario: An order without a key runs each time
    Given two zones whose services take 20 ms
    When an order without a key is sent twice
    Then the services ran 2 requests

  Scenario: A lookup with a key that is sent through both entries runs once
    Given two zones whose services take 800 ms
    When a lookup with the key "k1" is sent through both entries at once
    Then both answers are the same and whole
    And the services ran 1 request

  Scenario: A lookup whose agent is gone runs again
    Given two zones whose services take 2500 ms
    When a lookup with the key "k1" is begun through entry 0
    And its service runs it
    And the agent that runs it is killed
    And entry 0 is killed
    And a lookup with the key "k1" is sent through entry 1
    Then the last answer is whole

  Scenario: The entry of a stream dies and the repeat continues it
    Given two zones with a grace period of 2 s and tokens of 20 ms
    When a keyed completion of 250 tokens is begun through entry 0
    And its decode has 20 tokens
    And entry 0 is killed
    And the same completion is sent through entry 1
    Then the repeat gets the whole text
    And the engines decoded it once

  Scenario: The caller of a stream goes away and comes again
    Given two zones with engines that need 20 ms for a token
    When the caller of a keyed completion of 150 tokens goes away after 10
    And the same completion is sent through entry 1
    Then the repeat gets the whole text
    And the engines decoded it once

  Scenario: A finished completion is answered from the store
    Given two zones with engines that need 2 ms for a token
    When a keyed whole completion is sent through both entries in turn
    Then both have the same text and usage
    And the engines decoded it once

  Scenario: The decode agent of a keyed stream dies and the claim follows
    Given two zones with engines that need 20 ms for a token
    When a keyed completion of 150 tokens is begun through entry 0
    And its decode has 20 tokens
    And the agent of its decode is killed
    And its decode goes on elsewhere
    And the same completion is sent through entry 1
    Then the first completion gets the whole text
    And the repeat gets the whole text
    And the engines began at most 2 decodes of it
