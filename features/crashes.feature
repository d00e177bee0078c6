Feature: A request that crashes upstreams is stopped after two of them

  Guards against one request that takes down upstream after upstream while
  its caller sends it again, and against blaming requests beside it.

  Scenario: The request is refused, its neighbours are answered
    Given two zones with engines that need 20 ms for a token
    When 6 healthy callers stream 60 tokens each
    And a caller sends a request that crashes engines
    And the caller sends it 4 times again through all entries
    Then the engines crashed at most twice
    And the last refusal is "request_blamed"
    And every healthy caller has its whole answer
