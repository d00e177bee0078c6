Feature: Upstreams get no more requests than the limit that they state

  Guards against limits that are exceeded by the sum of all instances, or after
  a change of the coordinator, and against limits that stay in force after the
  upstream no longer states them.

  Scenario: Requests go to an upstream without a limit
    Given 2 plain upstreams, of which plain-0 states a limit of 2
    When 20 requests arrive in a second
    Then none of them is rejected
    And plain-0 got at most 2 of them

  Scenario: A request that all limits exclude is rejected at once
    Guards against requests that wait in vain, and against retries that come
    too early to be placed.
    Given 1 plain upstream, of which plain-0 states a limit of 0.5
    When 2 requests that can wait for 0.4 seconds arrive
    Then the second one is rejected at once, as not run
    And a request at its retry time is placed

  Scenario: A request that a limit delays for a moment waits
    Given 1 plain upstream, of which plain-0 states a limit of 5
    When 2 requests that can wait for 0.4 seconds arrive
    Then the second one is placed within 0.3 seconds

  Scenario Outline: A suspended upstream is awaited only while that helps
    Guards against a wait for an upstream that stays suspended for longer than
    the request can wait.
    Given 2 plain upstreams, of which plain-0 states a limit of 0.5
    And plain-1 is suspended for <seconds> seconds
    When 2 requests that can wait for 0.4 seconds arrive
    Then the second one is <result>

    Examples:
      | seconds | result                          |
      | 3       | rejected at once, as not run    |
      | 0.2     | placed within 0.3 seconds       |

  Scenario: Prefill and decode upstreams have limits of their own
    Given a prefill and 2 decode upstreams, of which prefill-0 states a limit of 1
    When 8 prompts arrive in 2 seconds
    Then prefill-0 got at most 3 of them

  Scenario: An answer to an earlier request does not end a limit
    Guards against answers of different instances that arrive out of order.
    Given 1 plain upstream with 2 running requests
    When it states a limit of 2 in the answer to the first one
    And the answer to the second one states none
    Then the limit is in force

  Scenario: An answer to a later request ends a limit
    Given 1 plain upstream, of which plain-0 states a limit of 2
    When a request is placed and its answer states none
    Then there is no limit

  Scenario: A limit of 0 is tried every 10 seconds
    Given 1 plain upstream, of which plain-0 states a limit of 0
    When requests arrive for 30 seconds
    Then 3 or 4 of them were placed

  Scenario: A limit belongs to a name, not to an address
    Given 1 plain upstream, of which plain-0 states a limit of 0.5
    When plain-9 replaces it at the same address
    Then 5 requests are placed at once

  Scenario: A restarted upstream shows at once whether it has a limit
    Given 1 plain upstream, of which plain-0 states a limit of 0.1
    When 1 request is placed and the upstream restarts under its name
    Then 1 request is placed at once
    And the limit is in force

  Scenario: A limit outlasts an expired entry of the list
    Guards against a full load on an upstream whose entry is registered again
    after an outage of the store.
    Given 1 plain upstream, of which plain-0 states a limit of 2
    When the list is empty for 30 seconds
    Then the limit is in force
    When the list is empty for 100 seconds
    Then there is no limit

  Scenario: The lowest of the reported limits is in force until an answer
    Given 1 plain upstream
    When instances report limits of 4, 2 and 3
    Then the limit is 2
    When an answer states a limit of 3
    Then the limit is 3

  Scenario: The sum of all instances stays within the limit
    Guards against sends that one process alone counts and that are lost when
    the coordinator changes.
    Then 60 random fleets keep the rule while coordinators change
