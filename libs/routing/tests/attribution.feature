Feature: A request that crashes upstreams is found, innocents are not blamed

  Guards against one request that takes down every upstream that runs it,
  and against rejecting requests that only ran next to it.

  Scenario: One process blames after two crashes and never an innocent
    Then 120 random fleets with 1 process keep the promise

  Scenario: Processes that exchange records late keep the promise together
    Then 120 random fleets with 3 processes keep the promise

  Scenario: One crash does not blame, and a success clears it
    Given a request that ran alone when an upstream crashed
    Then it has to run alone
    When it succeeds and then crashes an upstream again
    Then it has to run alone

  Scenario: Records merge in any order and a repeat counts once
    Then 200 random records merge the same forwards, backwards and twice

  Scenario: Memory is bounded and old suspicions are forgotten
    When 500 digests crash upstreams where 100 may be kept
    Then 100 of them are kept and none after the retention
