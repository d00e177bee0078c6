Feature: A server starts its threads on demand

  Guards against instances that start the maximum number of threads in
  advance, and against requests that are queued although the server may start
  more threads.

  Scenario: Sequential requests share a thread
    Given a server with a maximum of 50 threads
    When 30 requests arrive, each after the previous one was served
    Then it has at most 1 threads

  Scenario: Concurrent requests have a thread each
    Given a server with a maximum of 50 threads
    When 40 requests arrive at the same time
    Then all of them are served concurrently
    And it has at most 40 threads

  Scenario: Requests beyond the maximum number of threads are queued
    Given a server with a maximum of 5 threads
    When 12 requests arrive at the same time
    Then 5 of them are served concurrently
    And all of them get a response when these end
