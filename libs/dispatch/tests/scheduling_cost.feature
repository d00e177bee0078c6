Feature: The cost of a scheduling decision does not grow with the queue

  A large fleet serves plain requests during a burst of prompts. Guards
  against a coordinator that runs out of processor time, so that plain
  requests, whose latency objective is a tenth of a second, miss it.

  Scenario: A queue of prompts adds no placement work to plain requests
    Given a fleet of 60 engines with 100 prompts in the queue
    When a plain request arrives and ends
    Then placement was attempted for 1 request

  Scenario: Placement is attempted only for the first of equal prompts
    Given a fleet of 60 engines with 100 prompts in the queue
    When the coordinator ticks
    Then placement was attempted for 1 request

  Scenario: Skipped requests could not have been placed
    Then 100 random runs have the same results as without skipping
