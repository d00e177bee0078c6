Feature: An explanation states what the coordinator would decide, and why

  Guards against an explanation that operators act on although the coordinator
  decides something else, and against one that changes the state it explains.

  Scenario: The explanation names the upstream that the decision then chooses
    Guards against explanations that repeat the decision instead of sharing it.
    Then in 150 random states the explained decision is the one that follows
    And none of these explanations changed the state

  Scenario Outline: A candidate states what excludes it
    Given 2 plain upstreams with 1 slots
    And the upstream "plain-0" is <state>
    When a plain request is explained
    Then "plain-0" is excluded as "<reason>"
    And "plain-1" is the best candidate and the explained choice

    Examples:
      | state               | reason                   |
      | leaving             | leaving                  |
      | in an evacuated zone | availability zone evacuated |
      | full                | no free slot             |
      | paused              | paused for the instance  |
      | suspended           | suspended after failures |
      | at its rate limit   | stated rate limit        |

  Scenario: An account without headroom states from when on it is admitted
    Given 2 plain upstreams with 9 slots
    And the account may use 10 tokens a second and 10 at once
    When a request over 5000000 tokens has used the account up
    And a request of the account is explained
    Then the explanation states no headroom and the rejection that follows

  Scenario: A queue of other requests is part of the expected wait
    Given 1 plain upstreams with 1 slots
    When 4 plain requests are submitted
    And a plain request is explained
    Then 3 requests are ahead of it and it would be queued
