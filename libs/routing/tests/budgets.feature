Feature: Retries and transfers stay inside their budgets

  Guards against retries that multiply an overload, work that runs twice
  though it must not, and transfers that starve each other of bandwidth.

  Scenario: Retries stay a fixed part of first attempts
    Then 20000 random attempts never exceed the budget of account or upstream

  Scenario: Work that is not idempotent is retried only if it has not run
    Then no failure of any class lets it run again after it may have run
    And idempotent work is retried after the loss of an upstream
    And nothing is retried for a failure that would be the same again

  Scenario: Backoff grows, is bounded and spreads over the whole delay
    Then the delays of attempts 1 to 40 fill their bounds up to 1 second

  Scenario: Only idempotent work without an answer is hedged
    Then hedging needs idempotent work, time, attempts and no answer yet

  Scenario: Every admitted transfer meets its deadline on a shared link
    Then a random machine finds no admitted transfer late

  Scenario: A transfer without progress is found
    Given two transfers of which one makes progress
    Then only the other one is stalled after the limit
