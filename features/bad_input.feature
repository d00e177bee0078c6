Feature: Bad input gets a clear typed error and harms nobody

  Guards against crashes, unbounded memory and unclear answers when callers
  or strangers send what nobody should send.

  Background:
    Given the smallest system with tight bounds for callers

  Scenario: Every malformed request is refused with its own code
    Then these bodies for a completion are refused as not run
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
    And a body of deeply nested arrays is refused as "body_malformed"
    And a body over the limit is refused as "body_too_large"
    And headers over the limit are refused as "headers_too_large"
    And a path without a route is refused as "route_unknown"
    And no upstream ran anything

  Scenario: Slow and silent connections do not keep others out
    When 60 connections send half a body and stay silent
    Then a caller that asks for 3 tokens gets them
    And the silent connections are closed within 8 seconds

  Scenario: Random bytes on every port leave the processes running
    When 200 random messages with seed 5 are sent to every port
    Then a caller that asks for 3 tokens gets them
    And every process still runs

  Scenario: Random requests never get an internal error
    Then 300 random requests with seed 11 get no internal error
