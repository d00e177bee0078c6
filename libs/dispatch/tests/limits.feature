Feature: Limits hold for the whole fleet

  Guards against accounts that get more than their contract, refusals of
  accounts within it, and repeats that multiply an overload.

  Scenario: One account sends many times its usual
    Given an account with 1000 tokens per second and a burst of 2000
    When it sends 100 requests of 500 tokens within 4 seconds
    Then it got at most 6500 tokens
    And each refusal names a time at which the account may send again

  Scenario: An account within its rate is never refused
    Given an account with 1000 tokens per second and a burst of 2000
    When it sends 40 requests of 500 tokens within 20 seconds
    Then none of them is refused by the limit

  Scenario: An overdrawn account comes after all others
    Given an account with 1000 tokens per second and a burst of 2000
    And an overdraft of 20000 tokens
    When the account overdraws and waits before another account's request
    Then the other account gets the next place

  Scenario: Prompts of an account at its limit leave room for its plain requests
    Guards against an account that sends many times its usual and has its
    cheap requests refused for tokens that its prompts took.
    Given an account with 10000 tokens per second and a burst of 20000
    And an overdraft of 140000 tokens for it
    When it sends 30 prompts of 5000 tokens and 20 requests of 200 tokens each second for 5 seconds
    Then none of its requests of 200 tokens is refused
    And its prompts got at most 140000 tokens

  Scenario: A request that ran nowhere is not charged
    Given an account with 1000 tokens per second and a burst of 2000
    When its request of 2000 tokens is refused for lack of room
    Then its level is 2000 tokens

  Scenario: A changed limit keeps the level
    Given an account with 1000 tokens per second and a burst of 2000
    When its request of 1500 tokens runs and the rate becomes 10
    Then its level is 500 tokens

  Scenario: Repeats stay within the budget
    Given a service with a repeat ratio of 0.2 and a slack of 5
    When 100 requests within 5 seconds all ask again
    Then at most 25 of the repeats get a place

  Scenario: Prompts that are read again take two repeats
    Guards against a burst of failing prompts whose second reading and second
    run are sends that the budget counts as one.
    Given a service with a repeat ratio of 0.2 and a slack of 5
    When 100 requests within 5 seconds ask and are read again
    Then at most 12 of the repeats get a place

  Scenario: Content that takes down upstreams is not run again
    Given 4 plain upstreams that a request takes down one after the other
    When the same content arrives again
    Then it is refused as not run

  Scenario: Content that an upstream ran to its end is not blamed
    Given 4 plain upstreams that a request takes down one after the other
    When the same content had run to its end before the last loss
    Then it is not refused

  Scenario: Content whose answers are lost while its upstreams live is not blamed
    Given 4 plain upstreams that a request takes down one after the other
    When the same content only had its answers lost
    Then it is not refused
