Feature: Limits apply to the whole fleet

  Guards against accounts that exceed their contract, rejections of accounts
  within it, and retries that amplify an overload.

  Scenario: An account that exceeds its rate is limited
    Given an account with 1000 tokens per second and a burst of 2000
    When it sends 100 requests of 500 tokens within 4 seconds
    Then at most 6500 tokens were admitted
    And each rejection states when the account may send again

  Scenario: An account within its rate is never rejected
    Given an account with 1000 tokens per second and a burst of 2000
    When it sends 40 requests of 500 tokens within 20 seconds
    Then none of them is rejected by the limit

  Scenario: An overdrawn account is served after all others
    Given an account with 1000 tokens per second and a burst of 2000
    And an overdraft of 20000 tokens
    When the account overdraws and is queued before another account's request
    Then the other account's request is placed next

  Scenario: Prompts of an account at its limit do not block its plain requests
    Guards against the rejection of an account's cheap requests because its
    prompts used up the overdraft.
    Given an account with 10000 tokens per second and a burst of 20000
    And an overdraft of 140000 tokens for it
    When it sends 30 prompts of 5000 tokens and 20 requests of 200 tokens each second for 5 seconds
    Then none of its requests of 200 tokens is rejected
    And at most 140000 tokens of its prompts were admitted

  Scenario: A request that no upstream ran is not charged
    Given an account with 1000 tokens per second and a burst of 2000
    When its request of 2000 tokens is rejected for lack of capacity
    Then its level is 2000 tokens

  Scenario: A changed limit keeps the level
    Given an account with 1000 tokens per second and a burst of 2000
    When its request of 1500 tokens runs and the rate becomes 10
    Then its level is 500 tokens

  Scenario: Retries stay within the budget
    Given a service with a retry ratio of 0.2 and a slack of 5
    When 100 requests within 5 seconds are all retried
    Then at most 25 of the retries are placed

  Scenario: Retries stay within the budget while coordinators die
    Guards against retries that only the coordinator and the instance that
    died with it had counted.
    Given a service with a retry ratio of 0.2 and a slack of 58
    When 8 requests each second are all retried for 24 seconds while 3 coordinators die
    Then the retries in each 10 seconds stay within the budget

  Scenario: Prompts that are prefilled again take two retries
    Guards against a burst of failing prompts whose second prefill and second
    decode are counted as one retry.
    Given a service with a retry ratio of 0.2 and a slack of 5
    When 100 requests within 5 seconds are retried with a new prefill
    Then at most 12 of the retries are placed

  Scenario: Content that crashes upstreams is not run again
    Given 4 plain upstreams that a request crashes one after the other
    When the same content arrives again
    Then it is rejected as not run

  Scenario: Content that crashes upstreams is not run by a new coordinator
    Guards against three more crashes after each change of the coordinator.
    Given 4 plain upstreams that a request crashes one after the other
    When the same content arrives again
    And an instance reports its rejection to a new coordinator
    Then the new coordinator rejects it as not run
    But runs it after the time for which crashes are attributed

  Scenario: Content that an upstream completed is not quarantined
    Given 4 plain upstreams that a request crashes one after the other
    When the same content was completed before the last crash
    Then it is not rejected

  Scenario: Content with lost answers but no crashes is not quarantined
    Given 4 plain upstreams that a request crashes one after the other
    When the same content only had its answers lost
    Then it is not rejected

  Scenario: The contract holds while the coordinator changes
    Guards against an account that gets its burst and overdraft anew from each
    coordinator.
    Given an account with 10000 tokens per second and a burst of 20000
    And an overdraft of 140000 tokens for it
    When it sends 100 requests of 2000 tokens each second while the coordinator changes 3 times in 8 seconds
    Then its tokens in each 8 seconds stay within 1.1 times its contract plus 140000

  Scenario: An account within its rate is not limited after a change
    Guards against use that is charged twice when the coordinator changes.
    Given an account with 10000 tokens per second and a burst of 20000
    When it sends 5 requests of 1900 tokens each second while the coordinator changes 3 times in 8 seconds
    Then none of them is rejected by the limit

  Scenario: A cold upstream gets no burst while the coordinator changes
    Guards against a full load on a cold upstream from each coordinator.
    Given a cold upstream that tolerates 17 requests per second
    When 80 prompts arrive each second while the coordinator changes 4 times in 7 seconds
    Then no second has more than 30 sends to it

  Scenario: The instants of old sends are dropped without a cold limit
    Guards against memory that grows with each request to a plain service.
    Given 1 plain upstream that runs 1000 requests in 100 seconds
    Then the instants of at most 20 sends are kept
