Feature: Each crash of an upstream is reported once

  A crash breaks the connections of all requests, and a busy machine may detect
  some of them late. Guards against a second report that blames a request only
  because its broken connection was detected last.

  Scenario: A broken connection is detected after the crash was confirmed
    Given an agent whose engine runs 3 requests
    When the engine crashes and 2 broken connections are detected
    And the crash is confirmed
    And the last broken connection is detected while the engine is down
    Then 1 crash with 3 requests was reported
    And the failure of all 3 requests was reported

  Scenario: A request that runs after a crash belongs to the next one
    Given an agent whose engine runs 2 requests
    When the engine crashes and 1 broken connections are detected
    And the crash is confirmed
    And a request runs on the restarted engine, which crashes
    Then 2 crashes were reported, the last one with 1 request
