Feature: A request that can never be served is rejected at once

  Guards against rejections that suggest a useless retry, and against one
  request that blocks all others.

  Scenario: A prompt that exceeds the memory of every upstream
    Given a service whose upstreams have memory for 30000 tokens
    When a request with a prompt of 30000 tokens arrives
    Then it is rejected with 400 and without Retry-After

  Scenario: A prompt that fits into the memory of an upstream
    Given a service whose upstreams have memory for 30000 tokens
    When a request with a prompt of 29000 tokens arrives
    Then it is admitted

  Scenario: A request on which the coordinator fails blocks no other one
    Given a coordinator with free upstreams
    When a placement is requested with token counts too large to calculate with
    And a placement is requested for a usual request
    Then the first is rejected and the second gets a placement

  Scenario Outline: A request target that cannot be forwarded
    Guards against errors that are attributed to an upstream although the
    caller sent invalid bytes.
    When a request arrives whose target has the byte <code>
    Then it is rejected with 400 and without Retry-After

    Examples:
      | code |
      | 1    |
      | 9    |
      | 32   |
      | 127  |
      | 233  |

  Scenario: A connection with an invalid keep-alive time-out is reused
    When an upstream states a time-out of 5000 digits
    Then its connection is in the pool
