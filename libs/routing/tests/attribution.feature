Feature: Only the request that causes crashes of upstreams is rejected

  Guards against a request that crashes every upstream that runs it, and
  against the rejection of requests that only ran beside it.

  Scenario: One process rejects a crashing request and no other
    Then 120 random fleets with 1 process reject only the crashing request

  Scenario: Processes that exchange records late reject no other request
    Then 120 random fleets with 3 processes reject only the crashing request

  Scenario: One crash does not cause a rejection, and a success clears it
    Given a request that ran alone when an upstream crashed
    Then it has to run alone
    When it succeeds and then crashes an upstream again
    Then it has to run alone

  Scenario: The merge of records is commutative and idempotent
    Then 200 random records merge to the same in order, reversed and repeated

  Scenario: Memory is bounded and old evidence expires
    When 500 digests crash upstreams with a limit of 100 digests
    Then 100 of them are stored, and none after the retention period

  Scenario: A part of prompts that crashes upstreams is held back, though no two requests are alike
    Guards against a part that crashes one upstream after the other, because
    crashes are attributed to whole requests only.
    When 8 requests that share a part crash an upstream each that was not rejected
    Then at most 5 of them ran
