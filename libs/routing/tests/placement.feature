Feature: Requests are placed where they can be answered in time

  Guards against entries that all send to the same upstream, against work
  for upstreams that are leaving, silent, cold or have failed the request,
  and against prefill that can no longer be decoded in time.

  Scenario: Any sequence of events agrees with a simple model of the view
    Then a random machine finds no difference from the view's model

  Scenario: A report covers exactly the commitments that it can show
    Given 2 commitments of which one is confirmed
    Then a report within the lag leaves 1 of them
    And a report after the lag leaves 0 of them

  Scenario: Many entries on lagging reports do not herd
    Given 24 entries that see reports of 16 services each second
    When they place requests at 0.7 of the capacity for 20 seconds
    Then the longest queue is at most 0.5 of that of least outstanding
    And the 99th percentile of the wait is at most 0.5 of its

  Scenario: A prefix that everyone wants does not overload its holder
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When 60 requests with this prefix are placed before the next report
    Then the holder gets between 20 and 50 of the prefills

  Scenario: Prefix reuse is worth a short wait and not a long one
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When the holder has 2 requests ahead
    Then the request is prefilled at the holder
    When the holder has 60 requests ahead
    Then the request is prefilled elsewhere

  Scenario: A short uncached suffix is prefilled where it is decoded
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When the decode upstreams hold the prefix as well
    Then the request has no prefill upstream and no transfer

  Scenario: What cannot be answered in time is rejected at once
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When a request has 0.01 seconds left
    Then it is rejected as unreachable with a retry instant
    When every decode upstream has 400 requests ahead
    Then a request with 2 seconds left is rejected as overloaded
    When no decode upstream reports any more
    Then a request with 2 seconds left finds no upstream

  Scenario: One free upstream among many full ones is found
    Given 64 services of which 63 are full for long
    When 20 requests with 1 second left are placed
    Then all of them get the free one

  Scenario: A link whose bandwidth is committed counts as a wait
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    When the links into all decode upstreams but one are committed
    Then the request is decoded behind the free link

  Scenario: A cold upstream is avoided and ramps up afterwards
    Given 2 services of which one is cold
    Then it counts 1 of its 8 slots
    And a request with 1 second left goes to the warm one
    When it has been warm for half of the ramp
    Then it counts 4 of its 8 slots

  Scenario: A request that has to wait may queue at two upstreams
    Given 8 services with 1 request ahead at each
    When a request is placed
    Then it names two different services
    And its release at one leaves the commitment at the other

  Scenario: An entry keeps links to a few upstreams, even over zones
    Given 60 upstreams in 3 zones
    Then the subset of each of 100 entries has 4 upstreams in each zone
    And a departure changes at most one place of any subset
    And every upstream is in 4 to 36 subsets

  Scenario: The baselines have the same interface
    Given 8 idle decode and prefill upstreams, one holding a prompt's prefix
    Then round robin uses all upstreams evenly
    And least outstanding avoids the upstream with the most work
    And prefix affinity prefills at the holder
