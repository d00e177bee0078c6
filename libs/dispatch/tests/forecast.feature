Feature: The memory of running requests is forecast

  Guards against engines that run out of memory while their requests grow,
  which preempts a request and repeats its prefill, and against memory
  reserved for output that is never generated.

  Scenario: The forecast peak equals the simulated peak
    Then the peaks of 300 random sets of requests equal the simulated peaks

  Scenario: Requests that end at different times do not add up
    Given a request that ends after 100 tokens and one after 1000
    Then their peak is below the sum of their final sizes

  Scenario: A request beyond its expected length is forecast to grow
    Given a request that has generated twice what was expected
    Then it is forecast to grow by half of that, up to its maximum

  Scenario: A hint is combined with the default length
    Then a hint of 100 of at most 2700 gives more than 100 expected tokens
    And a hint of 2700 of at most 2700 gives fewer than 2700 expected tokens
    And without a hint the default length is expected

  Scenario: While memory is short, cheap requests go first without starvation
    Given a queue with a costly request and a steady stream of cheap ones
    Then the costly one is placed within 2.5 seconds
