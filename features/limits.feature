Feature: No client account exceeds its contract when processes fail

  Guards against limits that each instance enforces separately, against tokens
  that are granted twice after the holder of a share crashed or was paused, and
  against rejections below the rate.

  Scenario: An account far above its rate is limited to rate and burst
    Given two zones with a contract of 3000 tokens a second and 6000 burst
    When 12 callers send 300-token requests for 8 seconds
    Then the tokens processed do not exceed the rate and the burst
    And they reach at least 70 percent of the rate

  Scenario: No tokens are granted twice after the holder of a share is killed
    Given two zones with a contract of 3000 tokens a second and 6000 burst
    When 12 callers send 300-token requests for 20 seconds
    And a holder of shares is killed after 4 seconds
    Then the tokens processed do not exceed the rate and the burst
    And both shares are held by running agents within 5 seconds

  Scenario: No tokens are granted twice after the holder of a share is paused
    Given two zones with a contract of 3000 tokens a second and 6000 burst
    When 12 callers send 300-token requests for 14 seconds
    And a holder of shares is paused from 3 to 9 seconds
    Then the tokens processed do not exceed the rate and the burst

  Scenario: A request whose service crashed during the call is not retried
    Given two zones with slow services
    When a caller posts an order with the marker "only-once"
    And the service that runs it is killed
    Then the response has the outcome "unknown"
    And no service runs that order again
