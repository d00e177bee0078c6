Feature: New work goes only to instances that can take it

  Each instance "agent-N" runs beside the upstream "model-N"; 1 and 2 are in
  the zone "ikeja", 3 is in "lekki".

  Scenario Outline: The first sign against an upstream ends new work at once
    Guards against new work for a leaving upstream more than 3 s after the
    first sign, from whichever source it comes.
    Given a view of a list with 3 instances
    When <sign>
    Then "model-1" gets no new work
    And "model-3" gets new work

    Examples:
      | sign                                     |
      | operators drain the zone "ikeja"         |
      | operators drain the instance "agent-1"   |
      | operators drain the upstream "model-1"   |
      | "agent-1" reports that it drains         |
      | the list says that "agent-1" leaves      |
      | the list has lost "agent-1"              |
      | "agent-1" refuses a connection           |

  Scenario: A source that says nothing does not overrule another
    Guards against a lagging list that brings a drained instance back.
    Given a view of a list with 3 instances
    When "agent-1" reports that it drains
    And a newer list still has "agent-1" live
    Then "model-1" gets no new work

  Scenario: An instance whose reports stop gets no new work
    Guards against work for an instance that went silent.
    Given a view of a list with 3 instances
    When "agent-1" reports
    And 2.9 seconds pass
    Then "model-1" gets new work
    When 0.2 seconds pass
    Then "model-1" gets no new work
    When the observer closes its link to "agent-1"
    Then "model-1" gets new work

  Scenario: A refused connection counts only for its time
    Guards against an instance that never gets work again after a fault.
    Given a view of a list with 3 instances
    When "agent-1" refuses a connection
    And 3.1 seconds pass
    Then "model-1" gets new work
    And "model-1" gets at most 1 open request

  Scenario: A report of a new life comes before the list
    Guards against messages to, and trust in, the earlier incarnation.
    Given a view of a list with 3 instances
    When "agent-1" reports as incarnation "2"
    And a newer list still has "agent-1" live
    Then "agent-1" runs as incarnation "2"
    And "model-1" gets new work
    When "agent-1" refuses a connection as incarnation "1"
    Then "model-1" gets new work

  Scenario: Time decides between a report and a list that differ
    Guards against an instance that gets no work because its life before
    reported last.
    Given a view of a list with 3 instances
    When "agent-1" reports as incarnation "2"
    And the list names incarnation "3" of "agent-1"
    Then "agent-1" runs as incarnation "2"
    When 3.1 seconds pass
    And the list names incarnation "3" of "agent-1"
    Then "agent-1" runs as incarnation "3"
    And "model-1" gets new work

  Scenario: Only an incarnation that was listed can be gone
    Guards against a share taken from a holder that the list lags behind.
    Given a view of a list with 3 instances
    Then incarnation "1" of "agent-1" is not gone
    When "agent-4" reports
    Then incarnation "1" of "agent-4" is not gone
    When the list has lost "agent-1"
    Then incarnation "1" of "agent-1" is gone
    When "agent-1" reports
    Then incarnation "1" of "agent-1" is gone
    And "model-1" gets no new work

  Scenario: An older list changes nothing
    Guards against instances that come back with a late response.
    Given a view of a list with 3 instances
    When the list has lost "agent-1"
    And an older list arrives
    Then incarnation "1" of "agent-1" is gone

  Scenario: A returning zone ramps up by completions
    Guards against full load on upstreams in cold start.
    Given a view of a list with 3 instances
    When operators drain the zone "ikeja"
    And operators return the zone "ikeja"
    Then the zone of "model-1" gets at most 1 open request
    When 4 requests are completed by "agent-1"
    Then the zone of "model-1" gets at most 5 open request
    When 40 requests are completed by "agent-2"
    Then the zone of "model-1" has no limit

  Scenario: A new incarnation ramps up by completions
    Guards against full load on an upstream that has just started.
    Given a view of a list with 3 instances
    Then "model-1" has no limit
    When "agent-1" reports as incarnation "2"
    Then "model-1" gets at most 1 open request
    When 19 requests are completed by "agent-1"
    Then "model-1" has no limit

  Scenario: Any order of evidence agrees with an oracle
    Guards against evidence that is lost or revived by what comes later.
    Then 150 runs of 40 random events agree with the oracle
