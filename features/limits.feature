Feature: No client account gets more than its contract, whatever fails

  Guards against limits that each instance enforces alone, against a crashed
  or paused holder whose tokens exist twice, and against needless refusals.

  Scenario: An account that sends many times its rate gets its rate and burst
    Given two zones with a contract of 3000 tokens a second and 6000 burst
    When 12 callers send 300-token requests for 8 seconds
    Then the tokens that ran are at most the rate and the burst
    And they are at least 70 percent of the rate

  Scenario: A holder that is killed leaves no tokens twice
    Given two zones with a contract of 3000 tokens a second and 6000 burst
    When 12 callers send 300-token requests for 20 seconds
    And a holder of shares is killed after 4 seconds
    Then the tokens that ran are at most the rate and the burst
    And both shares have a live holder within 5 seconds

  Scenario: A holder that is paused leaves no tokens twice
    Given two zones with a contract of 3000 tokens a second and 6000 burst
    When 12 callers send 300-token requests for 14 seconds
    And a holder of shares is paused from 3 to 9 seconds
    Then the tokens that ran are at most the rate and the burst

  Scenario: A service that dies in mid-call is not called again
    Given two zones with slow services
    When a caller posts an order with the marker "only-once"
    And the service that runs it is killed
    Then the caller is told that the outcome is "unknown"
    And no service runs that order again
