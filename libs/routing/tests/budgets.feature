Feature: Retries and transfers stay within their budgets

  Guards against retries that amplify an overload, against a second run of
  requests that are not idempotent, and against transfers that make each
  other miss their deadlines.

  Scenario: Retries are limited to a fixed ratio of first attempts
    Then 20000 random attempts never exceed the budget of account or upstream

  Scenario: A request that is not idempotent is retried only if it has not run
    Then no class of failure permits a retry after it may have run
    And an idempotent request is retried after the failure of an upstream
    And no request is retried after a permanent failure

  Scenario: The backoff grows exponentially up to a bound with full jitter
    Then the delays of attempts 1 to 40 fill their bounds up to 1 second

  Scenario: Only idempotent requests without a response are hedged
    Then hedging needs idempotence, time, attempts and no response yet

  Scenario: Every admitted transfer meets its deadline on a shared link
    Then a stateful random test finds no admitted transfer late

  Scenario: A transfer without progress is reported as stalled
    Given two transfers of which one makes progress
    Then only the other one is stalled after the time limit
