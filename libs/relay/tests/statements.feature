Feature: A relay sends nothing to upstreams that do not want it

  Guards against requests that were queued, or granted by a coordinator that does
  not know, when an upstream states to this relay that it is leaving or asks it
  for a pause.

  Scenario: A grant at an upstream that leaves is returned
    Given a relay with a link to its coordinator
    And upstream "up" of start 5 states to it that it is leaving
    When a request is granted upstream "up" of start 5
    Then the grant is returned and the request is sent again unchanged
    When it is granted upstream "up" of start 5
    Then the grant is returned and the request is sent again, without "up"
    When it is granted upstream "other" of start 5
    Then the request has its placement at "other"

  Scenario: A grant with a prefill upstream that leaves is returned
    Given a relay with a link to its coordinator
    And upstream "up" of start 5 states to it that it is leaving
    When a request is granted "other", and "up" of start 5 for its prefill
    Then the grant is returned and the request is sent again unchanged

  Scenario Outline: A statement holds for one incarnation
    Guards against an upstream that gets no requests after its restart, and
    against a grant of an older build, which does not name the start.
    Given a relay with a link to its coordinator
    And upstream "up" of start <stated> states to it that it is leaving
    When a request is granted upstream "up" of start <granted>
    Then the grant is <result>

    Examples:
      | stated | granted | result   |
      | 5      | 6       | used     |
      | 5      | 5       | returned |
      | 5      | 4       | returned |
      | 5      | 0       | returned |
      | 0      | 6       | returned |

  Scenario: A new coordinator learns who leaves before any request
    Guards against requests to a leaving upstream after a change of the
    coordinator.
    Given a relay that has a placement and waits for another
    And upstream "up" of start 5 states to it that it is leaving
    When it switches to a coordinator on another relay
    Then it states first that "up" of start 5 is leaving

  Scenario: A relay that is cut off knows who leaves
    Guards against a relay that coordinates itself and places its requests at
    the leaving upstream.
    Given a relay that has a placement and waits for another
    And upstream "up" of start 5 states to it that it is leaving
    When it becomes its own coordinator
    Then it tells itself first that "up" of start 5 is leaving

  Scenario: The coordinator passes on to all relays who leaves
    Guards against requests to a leaving upstream after the coordinator was
    killed: the next one grants plain requests before it has the report of the
    relay that knows.
    Given a relay that coordinates two others, "left" and "right"
    When "left" reports twice that "up" of start 5 is leaving
    Then "right" is told once that "up" of start 5 is leaving, and "left" never
    When upstream "mine" of start 6 states to it that it is leaving
    Then both are told that "mine" of start 6 is leaving

  Scenario: A relay that starts later learns who leaves
    Guards against a relay that becomes the coordinator without having been
    sent earlier statements.
    Given a relay that coordinates two others, "left" and "right"
    When "left" reports twice that "up" of start 5 is leaving
    And "late" completes its report
    Then "late" is told once that "up" of start 5 is leaving

  Scenario: A relay uses no grant at an upstream that leaves, as others learned
    Given a relay with a link to its coordinator
    When its coordinator passes on that "up" of start 5 is leaving
    And a request is granted upstream "up" of start 5
    Then the grant is returned and the request is sent again unchanged

  Scenario: A new coordinator knows what the relays were told
    Given a relay that has a placement and waits for another
    And its coordinator passed on that "up" of start 5 is leaving
    When it becomes its own coordinator
    Then it tells itself first that "up" of start 5 is leaving

  Scenario: The coordinator is told once
    Guards against a message for each of the thousands of answers of an upstream.
    Given a relay with a link to its coordinator
    When upstream "up" of start 5 states 1000 times to it that it is leaving
    Then the coordinator was told once, of start 5

  Scenario: A start time that no message can carry closes no link
    Guards against an odd entry of the list that ends links between relays.
    Given a grant of an upstream whose start time has 300 digits
    Then its message and the one that its upstream is leaving can be sent

  Scenario: What a relay knows of leaving upstreams is bounded
    Given a relay with a link to its coordinator
    When 500 upstreams state to it that they are leaving and end
    Then it knows none of them 70 seconds later

  Scenario: A grant at an upstream that asked for a pause is returned
    Given a relay with a link to its coordinator
    And upstream "up" of start 5 asks it for a pause of 60 seconds
    When a request is granted upstream "up" of start 5
    Then the grant is returned and the request is sent again unchanged

  Scenario Outline: A pause ends with its time or with the upstream's restart
    Given a relay with a link to its coordinator
    And upstream "up" of start 5 asks it for a pause of <seconds> seconds
    When a request is granted upstream "up" of start <granted>
    Then the grant is used

    Examples:
      | seconds | granted |
      | 0       | 5       |
      | 60      | 6       |

  Scenario: A new coordinator learns of pauses before any request
    Given a relay that has a placement and waits for another
    And upstream "up" of start 5 asks it for a pause of 60 seconds
    When it switches to a coordinator on another relay
    Then it states first that "up" of start 5 pauses for about 60 seconds

  Scenario: A relay that is cut off knows of its pauses
    Given a relay that has a placement and waits for another
    And upstream "up" of start 5 asks it for a pause of 60 seconds
    When it becomes its own coordinator
    Then it tells itself first that "up" of start 5 pauses for it

  Scenario: A pause ends no earlier for the coordinator than for the relay
    Guards against grants that the relay returns.
    Then 1000 random pauses end no earlier after they were sent to another relay

  Scenario: A pause that was asked for during the prefill holds for the decode
    Given a relay with a link to its coordinator
    And a request that was granted upstream "up" of start 5
    When upstream "up" of start 5 asks it for a pause of 60 seconds
    Then the request is not sent to "up", and its upstream is not blamed
