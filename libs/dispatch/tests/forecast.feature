Feature: The memory of running requests is forecast

  Guards against engines that run out of memory while their requests grow,
  which preempts a request and reads its prompt again, and against memory
  that is kept for output which never comes.

  Scenario: The peak is the one that a simulation finds
    Then 300 random sets of requests have the peak that a simulation finds

  Scenario: Requests that end at different times do not add up
    Given a request that ends after 100 tokens and one after 1000
    Then their peak is below the sum of their final sizes

  Scenario: A request beyond its expected length is still expected to grow
    Given a request that has generated twice what was expected
    Then it is forecast to grow by half of that and never above the most

  Scenario: A hint is blended with the usual length
    Then a hint of 100 of at most 2700 is taken for more than 100
    And a hint of 2700 of at most 2700 is taken for less than 2700
    And without a hint the usual length is taken

  Scenario: While memory is short, cheap requests go first but not for ever
    Given a queue with a costly request and cheap ones that keep coming
    Then the costly one gets a place within 2.5 seconds
