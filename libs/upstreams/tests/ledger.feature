Feature: The agent never overloads its engine and leaves no memory behind

  Guards against engine memory that stays allocated for requests that are
  gone, more work than slots, blocks or a cold engine allow, runs of old
  attempts, and tokens of an old attempt after a new one started.

  Scenario Outline: Failures in any order break no promise
    Then <runs> random histories of <steps> steps keep the ledger's promises, sharing prefixes: <sharing>

    Examples:
      | runs | steps | sharing |
      | 150  | 60    | no      |
      | 150  | 60    | yes     |

  Scenario: A message of an old attempt starts nothing after its request ended
    Given a ledger with 2 slots on a known engine
    When attempt 2 of request "a" is reserved, started and finished
    And attempt 1 of request "a" is reserved
    Then it is dropped as old_attempt

  Scenario: A cancel that overtakes its reservation still counts
    Given a ledger with 2 slots on a known engine
    When attempt 1 of request "a" is cancelled
    And attempt 1 of request "a" is reserved
    Then it is dropped as attempt_ended

  Scenario: A fetched prefill result gives its place back before it expires
    Given a ledger with 1 slots on a known engine
    And a prefill "a" whose result the engine keeps for 1 second
    Then request "b" waits while the result is kept
    And after a cancel of "a" it waits until the engine has cancelled the result

  Scenario: The newest attempt is forgotten after a bounded time
    Given a ledger with 2 slots on a known engine
    When attempt 1 of request "a" is cancelled
    And 121 seconds pass
    Then the ledger remembers no attempt

  Scenario Outline: A lost link ends work by whether it can be resumed
    Given a ledger with 2 slots on a known engine
    And a running request "a" <with> an idempotency key
    When its link is lost
    Then it is cancelled after <seconds> seconds and not before

    Examples:
      | with    | seconds |
      | without | 0       |
      | with    | 30      |

  Scenario: One heartbeat of a link renews all its requests
    Given a ledger with 2 slots on a known engine
    And a running request "a" without an idempotency key
    And a running request "b" without an idempotency key
    When the link sends a heartbeat each second for 20 seconds
    Then both requests run
    And both end when it is silent for 3 seconds

  Scenario: A drain refuses new work and waits for running work
    Given a ledger with 2 slots on a known engine
    And a running request "a" without an idempotency key
    When the ledger drains
    Then a new request is refused as draining with outcome not_run
    And the ledger is drained only after request "a" has finished

  Scenario: A common prefix takes its blocks once
    Given a ledger with 10 blocks of 100 tokens and shared prefixes
    Then 3 requests of 600 tokens with a common prefix of 4 blocks have places
    And the fourth waits

  Scenario: A large request is not overtaken for ever by small ones
    Given a ledger with 10 blocks of 100 tokens and shared prefixes
    When 900 tokens are in use and a request of 500 tokens waits
    Then a later request of 50 tokens waits behind it

  Scenario: An agent that has just started cancels what earlier ones left
    Given an engine that holds 3 runs of an earlier agent
    When a new agent reconciles each second
    Then it grants nothing before its first look
    And it has cancelled all of them within 3 reconciliations

  Scenario: An agent that was superseded starts and cancels nothing more
    Given an engine that holds 3 runs of an earlier agent
    When a superseded agent reconciles each second
    Then it cancels none of them and grants nothing

  Scenario: A start that is still on its way is not taken for a lost run
    Given a ledger with 2 slots on a known engine
    And a running request "a" without an idempotency key
    When the engine's reports do not list it for 1 second
    Then both parts of the ledger still count it
    And it ends as run_missing after 2 more seconds

  Scenario: An engine restart fails what ran there
    Given a ledger with 2 slots on a known engine
    And a running request "a" without an idempotency key
    When the engine reports another incarnation
    Then request "a" ends as engine_restarted and is named as failed
