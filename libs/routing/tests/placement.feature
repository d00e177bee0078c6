Feature: Requests are placed on upstreams that can answer in time

  Guards against entries that all choose the same upstream, against work
  for upstreams that are draining, stale, cold or have failed the request,
  and against prefills whose decode would miss the deadline.

  Scenario: Any sequence of events gives the same view as a simple model
    Then a stateful random test finds no difference from the view's model

  Scenario: A report replaces exactly the commitments that it includes
    Given 2 commitments of which one is confirmed
    Then a report within the lag leaves 1 of them
    And a report after the lag leaves 0 of them

  Scenario: Many entries with outdated reports cause no herd effect
    Given 24 entries that see reports of 16 services each second
    When they place requests at 0.7 of the capacity for 20 seconds
    Then the longest queue is at most 0.5 of that of least outstanding
    And the 99th percentile of the wait is at most 0.5 of its

  Scenario: A popular prefix does not overload the upstream that caches it
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When 60 requests with this prefix are placed before the next report
    Then the holder gets between 20 and 50 of the prefills

  Scenario: Prefix reuse justifies a short wait but not a long one
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When the holder has 2 requests ahead
    Then the request is prefilled at the holder
    When the holder has 60 requests ahead
    Then the request is prefilled elsewhere

  Scenario: A short uncached suffix is prefilled by the decode upstream
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When the decode upstreams hold the prefix as well
    Then the request has no prefill upstream and no transfer

  Scenario: A request that cannot be answered in time is rejected at once
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When a request has 0.01 seconds left
    Then it is rejected as unreachable with a retry time
    When every decode upstream has 400 requests ahead
    Then a request with 2 seconds left is rejected as overloaded
    When the reports of all decode upstreams are stale
    Then a request with 2 seconds left finds no upstream

  Scenario: One free upstream among many full ones is found
    Given 64 services of which 63 have long queues
    When 20 requests with 1 second left are placed
    Then all of them are placed on the free one

  Scenario: A link whose bandwidth is committed adds to the wait
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When the links into all decode upstreams but one are committed
    Then the request is decoded on the upstream with the free link

  Scenario: A cold upstream is avoided and ramps up afterwards
    Given 2 services of which one is cold
    Then the cold one may use 1 of its 8 slots
    And a request with 1 second left is placed on the warm one
    When its cold start ended half of the ramp time ago
    Then the cold one may use 4 of its 8 slots

  Scenario: A request that has to wait may queue at two upstreams
    Given 8 services with 1 waiting request each
    When a request is placed
    Then it is placed on two different services
    And its release at one leaves the commitment at the other

  Scenario: An entry connects to a few upstreams, evenly over the zones
    Given 60 upstreams in 3 zones
    Then the subset of each of 100 entries has 4 upstreams in each zone
    And the removal of an upstream replaces at most one in any subset
    And every upstream is in 4 to 36 subsets

  Scenario: The baseline policies have the same interface
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    Then round robin uses all upstreams evenly
    And least outstanding avoids the upstream with the most work
    And prefix affinity prefills at the holder
