Feature: Malformed input gets a typed error and affects no other request

  Guards against crashes, unbounded memory use and untyped errors when callers
  or unauthenticated peers send malformed input.

  Background:
    Given the smallest deployment with low limits on request sizes

  Scenario: Every malformed request is rejected with its own error code
    Then these completion bodies are rejected with outcome "not_run"
      | body                                                   | code                |
      | no json                                                | body_malformed      |
      | []                                                     | body_malformed      |
      | {"model": "model"}                                     | body_malformed      |
      | {"model": 7, "prompt": "a"}                            | body_malformed      |
      | {"model": "other", "prompt": "a"}                      | model_unknown       |
      | {"model": "model", "prompt": ["a"]}                    | body_malformed      |
      | {"model": "model", "prompt": "a", "max_tokens": -1}    | tokens_out_of_range |
      | {"model": "model", "prompt": "a", "max_tokens": 1e9}   | body_malformed      |
      | {"model": "model", "prompt": "a", "max_tokens": 99999} | tokens_out_of_range |
      | {"model": "model", "prompt": "a", "max_tokens": true}  | body_malformed      |
    And a body of deeply nested arrays is rejected with code "body_malformed"
    And a body over the limit is rejected with code "body_too_large"
    And headers over the limit are rejected with code "headers_too_large"
    And a path without a route is rejected with code "route_unknown"
    And no upstream executed a request

  Scenario: Slow and idle connections do not block other callers
    When 60 connections send half a body and then stay idle
    Then a caller that requests 3 tokens receives them
    And the idle connections are closed within 8 seconds

  Scenario: Random bytes on every port leave the processes running
    Guards against processes that end, that keep connections or threads
    occupied, or that no longer serve callers after malformed bytes.
    Given a caller that requests 3 tokens was served
    When 200 random messages with seed 5 are sent to every port
    Then no process keeps a connection of them open for over 5 seconds
    And a caller that requests 3 tokens receives them
    And every process is still running

  Scenario: Random requests never get an internal error
    Then 300 random requests with seed 11 get no internal error
