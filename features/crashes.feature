Feature: A request that crashes upstreams is rejected after two crashes

  Guards against one request that crashes upstream after upstream while its
  caller retries it, and against rejecting the requests that run beside it.

  Scenario: The crashing request is rejected and concurrent requests succeed
    Given two zones with engines that need 20 ms for a token
    When 6 healthy callers stream 60 tokens each
    And a caller sends a request that crashes engines
    And the caller retries it 4 times through all entries
    Then the engines crashed at most twice
    And the last request is rejected with code "request_blamed"
    And every healthy caller received its complete response
