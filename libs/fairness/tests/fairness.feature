Feature: Order, shares and retry times of callers that compete

  Guards against an order that is no order, against callers that are starved,
  and against retry times at which all rejected callers return at once.

  Scenario: Any two waiting requests have one order
    Guards against a sort whose result depends on the order of arrival.
    Then 300 random sets of requests have the same order in any sequence

  Scenario: Rank goes first where both requests can be served in time
    Then a request in time is before all of lower ranks in 300 random sets

  Scenario: A request that is late already falls back by two ranks
    Guards against late answers that make answers of other callers late.
    Given a late request of rank 0 and requests in time of ranks 0 to 3
    Then the late one is placed after rank 1 and before rank 3

  Scenario: Work that has begun is finished first
    Then a request that has begun is before all others in 300 random sets

  Scenario: An account above its rate comes after the others of its rank
    Given an account that consumed 6 times its rate
    Then its request comes after one of an account within its rate
    And 30 seconds later the first due of both comes first

  Scenario: No group is starved under steady overload
    Guards against a rank, an account, a session or a size that is never
    served: the pool serves half of the requests, in their order.
    Then in 8 random histories of 120 seconds no group is served less than a quarter as often as all, and no size less than half as often as its rank

  Scenario: Retry times are spread by the promised capacity
    Guards against rejected callers that return together and are rejected
    again.
    When 200 callers are rejected at once at a service with 20 grants a second
    Then at most 1 caller a second was promised capacity
    And no caller gets a time beyond a third of its time left, or before 0.6 of that
    And in each tenth of the last tenth of that time some return

  Scenario: A higher rank does not yield to promises of lower ones
    When 10 callers of rank 2 and then one of rank 0 are rejected
    Then the one of rank 0 gets the first time

  Scenario: A caller is recognised once, and not before its time
    Guards against new requests with the same content that pass for a
    returning caller, and against a request sent again that loses its place.
    When a caller is rejected and returns with a new request id
    Then it is recognised, also if the request is sent again
    And an equal request of another caller is not recognised
    And one of another account or before the time is not recognised

  Scenario: The ledger is bounded in number and time
    When 10000 callers are rejected
    Then at most 4096 promises are kept
    And 20 seconds later none is kept

  Scenario: No newer request of a lower rank is more urgent than one that runs
    Guards against engines that preempt a request in favour of newer ones that
    matter less.
    Then each urgency of a rank is from 0 to 9 and none below that of the rank above
