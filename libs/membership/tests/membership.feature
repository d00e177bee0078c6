Feature: New work is sent only to instances that accept it

  Each instance "agent-N" serves the upstream "model-N"; 1 and 2 are in the
  zone "ikeja", 3 is in "lekki".

  Scenario Outline: An upstream gets no new work after the first evidence
    Guards against new work for a leaving upstream more than 3 s after the
    first evidence from any source.
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

  Scenario: A list does not overrule a heartbeat
    Guards against a lagging list that returns a draining instance to
    service.
    Given a view of a list with 3 instances
    When "agent-1" reports that it drains
    And a newer list still contains "agent-1"
    Then "model-1" gets no new work

  Scenario: An instance gets no new work after its heartbeat times out
    Guards against work for an instance that has stopped responding.
    Given a view of a list with 3 instances
    When "agent-1" reports
    And 2.9 seconds pass
    Then "model-1" gets new work
    When 0.2 seconds pass
    Then "model-1" gets no new work
    When the observer closes its link to "agent-1"
    Then "model-1" gets new work

  Scenario: A refused connection expires
    Guards against an instance that never gets work again after a fault.
    Given a view of a list with 3 instances
    When "agent-1" refuses a connection
    And 3.1 seconds pass
    Then "model-1" gets new work
    And "model-1" gets at most 1 open request

  Scenario: A heartbeat of a new incarnation arrives before the list
    Guards against work and evidence for the replaced incarnation.
    Given a view of a list with 3 instances
    When "agent-1" reports as incarnation "2"
    And a newer list still contains "agent-1"
    Then "agent-1" runs as incarnation "2"
    And "model-1" gets new work
    When "agent-1" refuses a connection as incarnation "1"
    Then "model-1" gets new work

  Scenario: A list that differs from a heartbeat applies after its lag
    Guards against an instance that gets no work because the last heartbeat
    came from its previous incarnation.
    Given a view of a list with 3 instances
    When "agent-1" reports as incarnation "2"
    And the list names incarnation "3" of "agent-1"
    Then "agent-1" runs as incarnation "2"
    When 3.1 seconds pass
    And the list names incarnation "3" of "agent-1"
    Then "agent-1" runs as incarnation "3"
    And "model-1" gets new work

  Scenario: Only an incarnation that was listed can be gone
    Guards against reassigning a share whose holder is not listed yet,
    because the list lags.
    Given a view of a list with 3 instances
    Then incarnation "1" of "agent-1" is not gone
    When "agent-4" reports
    Then incarnation "1" of "agent-4" is not gone
    When the list has lost "agent-1"
    Then incarnation "1" of "agent-1" is gone
    When "agent-1" reports
    Then incarnation "1" of "agent-1" is gone
    And "model-1" gets no new work

  Scenario: An older list is ignored
    Guards against departed instances that reappear with a late response.
    Given a view of a list with 3 instances
    When the list has lost "agent-1"
    And an older list arrives
    Then incarnation "1" of "agent-1" is gone

  Scenario: A zone ramps up with completed requests after a drain
    Guards against full load on upstreams during their cold start.
    Given a view of a list with 3 instances
    When operators drain the zone "ikeja"
    And operators undrain the zone "ikeja"
    Then the zone of "model-1" gets at most 1 open request
    When 4 requests are completed by "agent-1"
    Then the zone of "model-1" gets at most 5 open request
    When 40 requests are completed by "agent-2"
    Then the zone of "model-1" has no limit

  Scenario: A new incarnation ramps up with completed requests
    Guards against full load on an upstream that has just started.
    Given a view of a list with 3 instances
    Then "model-1" has no limit
    When "agent-1" reports as incarnation "2"
    Then "model-1" gets at most 1 open request
    When 19 requests are completed by "agent-1"
    Then "model-1" has no limit

  Scenario: Events in any order agree with an oracle
    Guards against evidence that later events wrongly drop or restore.
    Then 150 runs of 40 random events agree with the oracle
