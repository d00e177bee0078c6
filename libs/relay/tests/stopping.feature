Feature: A graceful shutdown answers requests that arrived before it

  Guards against requests that are dropped without an answer because their
  bytes were not read yet, or their connections not accepted yet, when the
  relay stopped listening under load.

  Scenario: A request whose bytes were not read yet is answered
    Given a server for callers with 5 idle connections
    When requests arrive on 3 of them at the moment at which it closes
    Then 3 requests are answered and their connections close
    And 2 connections close without an answer

  Scenario: A request whose answer was not read completely counts as open
    Guards against a process that exits with unsent bytes of an answer.
    Given a server for callers with 1 idle connections
    When a caller asks for 20 megabytes and reads nothing for a while
    Then its connection counts as busy until the caller has read everything

  Scenario: An answer that was not read completely is sent in full
    Given a server for callers with 1 idle connections
    When a caller asks for 20 megabytes and reads nothing for a while
    And the server closes
    Then the caller gets all 20 megabytes and its connection closes

  Scenario: A connection whose request is just ending closes, too
    Guards against a connection that stays open until the process exits, so
    that a request that arrives at that moment is dropped.
    Given a server for callers with 1 idle connections
    When it closes while a request whose answer was read has not ended
    Then 1 connections close without an answer

  Scenario: A request on a connection that was not accepted yet is answered
    Given a server for callers with 0 idle connections
    When 4 new connections with requests arrive at the moment at which it closes
    Then 4 requests are answered and their connections close
    And no new connection is accepted
