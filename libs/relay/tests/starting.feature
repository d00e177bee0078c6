Feature: A relay that has just started rejects no caller

  Guards against rejections for lack of a configuration that arrives shortly
  after, when the whole fleet restarts while callers retry.

  Scenario: A request arrives before the first configuration
    Given a relay without a configuration
    When a request arrives and the configuration 0.1 seconds later
    Then the request is matched to that configuration

  Scenario: The store is unavailable while a large fleet starts
    Guards against retries as rare as those of relays that already have a
    configuration and upstreams.
    Given a relay of a fleet that retries the store every 3.0 seconds
    When it starts while the store is unavailable for 0.8 seconds
    Then it has configuration and upstreams 0.5 seconds after the store answers

  Scenario: No configuration arrives
    Given a relay without a configuration
    When a request arrives
    Then it is rejected after 1.0 seconds with Retry-After
    And nothing is counted as waiting

  Scenario: A caller with little time left
    Guards against a wait that leaves the caller no time to retry.
    Given a relay without a configuration
    When a request arrives with 900 ms left
    Then it is rejected after 0.29 seconds with Retry-After

  Scenario: Too many requests wait
    Guards against worker threads that all wait, so that nothing is answered.
    Given a relay without a configuration
    And 2 requests wait for the configuration
    When a request arrives
    Then it is rejected after 0.0 seconds with Retry-After

  Scenario: A request too large to wait
    Guards against an instance that runs out of memory while bodies wait.
    Given a relay without a configuration
    And 1 requests wait for the configuration
    When a request arrives with a body of 901 bytes
    Then it is rejected after 0.0 seconds with Retry-After

  Scenario: A request waits for the start of the process
    Guards against a deadline that is counted from the end of the start.
    Given a connection whose request arrived 0.3 seconds ago
    When requests are read from now on
    Then the request counts as having waited 0.3 seconds

  Scenario: A request arrives after the start
    Given a connection whose request arrived 0.3 seconds ago
    When requests were read from 0.6 seconds ago on
    Then the request counts as having waited 0.0 seconds

  Scenario: A connection that is closed already
    Given a connection that is closed
    When requests are read from now on
    Then the request counts as having waited 0.0 seconds
