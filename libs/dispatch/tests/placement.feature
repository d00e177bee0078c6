Feature: Requests are placed at upstreams for the whole fleet

  Guards against overfilled engines, prompts that are prefilled but find no
  decode upstream, and requests that wait without a chance of placement.

  Scenario: A burst of prompts waits in the queue and not at the engines
    Given 2 prefill and 4 decode upstreams with 40000 tokens of memory
    When 30 prompts of 3000 tokens with 1000 expected arrive at once
    Then no prefill upstream has more than 200 ms of work
    And each grant names a decode upstream with sufficient memory
    When the granted prompts are processed until the queue is empty
    Then every request was answered exactly once

  Scenario: Long answers that end early leave memory for others
    Given 1 prefill and 1 decode upstreams with 40000 tokens of memory
    When 8 prompts of 3000 tokens with 1000 expected are prefilled one by one
    Then 8 of them run at the decode upstream

  Scenario: Requests that are still on time are served before late ones
    Given 1 prefill and 1 decode upstreams with 4000 tokens of memory
    And a request that runs
    When a request arrives past its latency objective, then one on time
    And the running request ends
    Then the one on time is placed

  Scenario: A change of the coordinator during a burst does not restart the wait
    Guards against callers that disconnect unanswered because each new
    coordinator restarts their wait while the queue is long.
    Given 1 prefill and 1 decode upstreams with 4000 tokens of memory
    And a request that runs
    When a request waits for 1 seconds
    And it is sent to a new coordinator with the same placements
    Then it is rejected 1.8 seconds later at the latest

  Scenario: A resumed stream is served before new requests
    Guards against streams of a crashed upstream that wait behind a burst
    until their callers disconnect.
    Given 1 prefill and 1 decode upstreams with 4000 tokens of memory
    And a request that runs
    When a request arrives, then a stream that is resumed
    And the running request ends
    Then the resumed stream is placed

  Scenario: A request that arrives at a slow queue is rejected at once
    Guards against callers that wait during a burst although the grant rate
    shows that they will not be placed in time.
    Given 1 prefill and 1 decode upstreams with 20000 tokens of memory
    When 3 prompts of 3000 tokens arrive every 0.5 seconds for 6 seconds and one ends every 0.7 seconds
    Then requests that are placed wait at most 2.7 seconds
    And in the last 3 seconds rejections take at most 1 seconds on average
    And at least 7 requests were placed

  Scenario: A queue that moves fast enough rejects no request
    Guards against rejections while requests can be placed in time.
    Given 1 prefill and 1 decode upstreams with 20000 tokens of memory
    When 1 prompts of 3000 tokens arrive every 0.5 seconds for 20 seconds and one ends every 0.4 seconds
    Then no request is rejected

  Scenario: A burst that cannot be served in time is rejected at once
    Given 1 prefill and 1 decode upstreams with 40000 tokens of memory
    When 60 prompts of 6000 tokens with 1000 expected arrive at once
    Then some are rejected within the same instant
    And each rejection states that nothing ran and when to retry

  Scenario: A request whose only upstreams are leaving is rejected
    Given 3 plain upstreams with 6 slots
    When all upstreams leave and a plain request waits until its deadline
    Then it is rejected for lack of an upstream

  Scenario: Plain requests never exceed the slots
    Given 3 plain upstreams with 6 slots
    When 40 plain requests arrive at once
    Then 18 of them run and each upstream has 6
    When one of them ends
    Then 18 of them run and each upstream has 6

  Scenario: An upstream that fails many requests gets fewer
    Given 3 plain upstreams with 6 slots
    When 1 of them fails 4 of 10 requests for a while
    Then it got fewer than a quarter of the requests

  Scenario: An unreachable upstream is avoided while there are others
    Given 3 plain upstreams with 6 slots
    When one of them is unreachable
    Then the next 12 requests go to the others
    When the others leave
    Then a request still goes to it

  Scenario: An upstream whose address is in use by another one gets no requests
    Given 3 plain upstreams with 6 slots
    When one of them answers under another name
    Then the next 12 requests go to the others
    And after 3 seconds the next 6 requests go to the others

  Scenario: Without prefill upstreams a decode upstream prefills one at a time
    Given 1 prefill and 3 decode upstreams with 40000 tokens of memory
    When the prefill upstream leaves and 9 prompts of 3000 tokens arrive
    Then 3 of them run, one at each decode upstream
    When the queue is served 0.3 seconds later
    Then 6 of them run, two at each decode upstream

  Scenario: Prompts that are due are prefilled where memory is idle
    Guards against a burst of short answers that waits for one prefill
    upstream while the memory of the decode upstreams is half empty.
    Given 1 prefill and 4 decode upstreams with 36000 tokens of memory
    When 4 prompts of 3200 tokens with 150 expected arrive every 0.25 seconds for 4 seconds
    Then none is rejected or late, and decode upstreams prefill some prompts

  Scenario: Decode upstreams with little free memory prefill no prompts
    Guards against engines whose little free memory goes to prompts that slow
    down all other requests.
    Given 1 prefill and 2 decode upstreams with 5000 tokens of memory
    When 4 prompts of 3200 tokens with 1000 expected arrive every 0.25 seconds for 4 seconds
    Then the decode upstreams prefill none of the prompts

  Scenario: An evacuated zone and a leaving upstream get no requests
    Given 3 plain upstreams with 6 slots
    When zone 0 is evacuated and upstream 1 is leaving
    Then 6 of 20 requests run, all at upstream 2

  Scenario: A cold upstream gets no burst
    Given 1 plain upstreams with 100 slots and a cold limit of 17 per second
    When 100 plain requests arrive over 3 seconds
    Then no second has more than 17 sends

  Scenario: An entry whose address is in use by another one is removed at once
    Guards against sends to upstreams that restarted under new names while
    the store was unavailable; they appear idle and attract all requests.
    Given 3 plain upstreams with 6 slots
    When one of them restarts under another name while the store is unavailable
    Then the next 12 requests go to the listed ones

  Scenario: An entry that is missing after a store outage stays usable
    Given 3 plain upstreams with 6 slots
    When upstream 0 is missing from the list after a store outage
    Then it is used for 2.5 seconds and then no more

  Scenario: A coordinator that was paused waits for a new list
    Guards against requests to upstreams that left while the coordinator was
    paused, and which its list still shows.
    Given 3 plain upstreams with 6 slots
    And a list of upstreams that is usable for 2 seconds
    When the coordinator is paused for 5 seconds and a request arrives
    Then the request waits
    When a new list has only upstream 2
    Then the request runs at upstream 2

  Scenario: A restarted upstream starts without the old one's load
    Given 3 plain upstreams with 6 slots
    And a request that runs
    When its upstream restarts under the same name
    Then the new incarnation has no load

  Scenario: A new coordinator counts the active placements
    Given 1 prefill and 1 decode upstreams with 4000 tokens of memory
    When another instance reports an active placement and a request arrives
    Then the request waits until that placement ends

  Scenario: A new coordinator waits until all instances report their placements
    Guards against prompts for engines that appear idle right after a change
    of the coordinator, so that they are prefilled but find no memory.
    Given 1 prefill and 1 decode upstreams with 4000 tokens of memory
    When an instance of two reports no placements and requests one
    Then the request waits for the other instance
    When the other instance reports an active placement
    Then the request waits until that placement ends

  Scenario: The wait of a new coordinator for reports is bounded
    Given 1 prefill and 1 decode upstreams with 4000 tokens of memory
    When an instance of two reports no placements and requests one
    Then the request waits for the other instance
    And it is placed within 0.35 seconds

  Scenario: The placements of an instance that is gone are removed
    Given 1 prefill and 1 decode upstreams with 4000 tokens of memory
    When another instance reports an active placement and a request arrives
    And that instance is gone
    Then the request is placed

  Scenario: An attempt that is requested twice is placed once
    Given 2 prefill and 4 decode upstreams with 40000 tokens of memory
    When an attempt is requested twice and ends once
    Then no upstream has any load left

  Scenario: A placement whose end is never reported expires
    Given 1 prefill and 1 decode upstreams with 40000 tokens of memory
    And a request that runs
    When its instance reports nothing for 5 seconds
    Then a long prompt is prefilled at once
    When its instance reports nothing for 20 seconds
    Then no upstream has any load left

  Scenario: A prefilled prompt goes first, but waits no longer than its KV cache lives
    Given 1 prefill and 1 decode upstreams with 4000 tokens of memory
    And a request that runs
    When a request arrives, then a prefilled one whose cache expires in 0.4 seconds
    And the running request ends
    Then the prefilled one is placed
    And it is still counted 5 seconds later
    When another prefilled one waits for 0.5 seconds
    Then it is rejected

  Scenario: Random traffic stays within all bounds
    Then 150 random runs stay within all bounds and answer each request once

  Scenario: A direct prefill that ends early frees its upstream for the next
    Guards against an upstream that is blocked for the expected prefill time
    of a prompt whose caller has disconnected.
    Given 0 prefill and 1 decode upstreams with 40000 tokens of memory
    When a prompt of 30000 tokens is prefilled there and its caller disconnects
    Then the next prompt is placed at once
