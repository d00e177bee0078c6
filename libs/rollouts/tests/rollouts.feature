Feature: Decisions on a roll-out

  Guards against an exposure above the bound, against verdicts that a fault of
  both versions or a single upstream causes, and against a new coordinator that
  repeats or undoes what was decided.

  Scenario Outline: The allowance of the canary
    Given <requests> requests and <sent> sends under a share of 0.1 and a slack of 50
    And the counts are <counts>
    Then <allowed> more sends are allowed

    Examples:
      | requests | sent | counts   | allowed |
      | 0        | 0    | complete | 25      |
      | 1000     | 50   | complete | 25      |
      | 1000     | 80   | complete | -5      |
      | 1000     | 0    | partial  | 50      |
      | 1000     | 50   | in doubt | 62.5    |

  Scenario Outline: Answers of both versions
    Given <old_bad> of <old> answers of the old version are bad
    And <new_bad> of <new> answers of <upstreams> new upstreams are bad
    Then the new version is <verdict>

    Examples:
      | old_bad | old | new_bad | new | upstreams | verdict  |
      | 0       | 100 | 5       | 20  | 2         | bad      |
      | 0       | 100 | 4       | 20  | 2         | not bad  |
      | 0       | 100 | 0       | 20  | 2         | not bad  |
      | 30      | 100 | 8       | 20  | 2         | not bad  |
      | 30      | 100 | 19      | 20  | 2         | bad      |
      | 0       | 100 | 5       | 20  | 1         | bad      |
      | 0       | 0   | 5       | 20  | 2         | not bad  |
      | 0       | 0   | 10      | 20  | 2         | bad      |

  Scenario: All bad answers are of one of several upstreams
    Given 0 of 100 answers of the old version are bad
    And 10 of 10 answers of one new upstream are bad, and 0 of 10 of another
    Then the new version is not bad
    And the first new upstream is a suspect

  Scenario: A version is bad on one route, while all fail on another
    Guards against a bad route that the noise of the others hides.
    Given on route "usual" 30 of 100 old and 60 of 200 new answers are bad
    And on route "rare" 0 of 50 old and 8 of 20 new answers are bad
    Then the new version is bad

  Scenario: A crash ends many requests at once
    Guards against a version that is blamed for one crashed machine.
    Given 0 of 100 answers of the old version are bad
    When a new upstream with 40 requests crashes
    Then 1 bad answer is counted

  Scenario Outline: A slow answer
    Given 20 answers of the old version took 1 second each
    When an answer of a new upstream that has given <before> answers takes <seconds> seconds
    Then it counts as <verdict>

    Examples:
      | before | seconds | verdict |
      | 10     | 4       | bad     |
      | 10     | 1.5     | good    |
      | 0      | 4       | good    |

  Scenario Outline: A new coordinator reads the status
    Given an order for "v2" in a service whose upstreams are of "v1" and "v2"
    When a new coordinator reads the status <status>
    Then new requests may go to <versions>
    And the roll-out is <stage>

    Examples:
      | status             | versions  | stage     |
      | completed of v2    | v2        | completed |
      | reverted of v2     | v1        | reverted  |
      | running of v2      | v1 and v2 | canary    |
      | running of v3      | v1 and v2 | canary    |
      | completed of v1    | v1 and v2 | canary    |
      | refused of v2      | v1        | refused   |

  Scenario: A new coordinator before it reads the status
    Given an order for "v2" in a service whose upstreams are of "v1" and "v2"
    Then a request that is bound to "v2" waits

  Scenario: A coordinator learns that another one has decided
    Guards against two coordinators that disagree for long.
    Given an order for "v2" in a service whose upstreams are of "v1" and "v2"
    When a new coordinator reads the status running of v2
    And it reads the status reverted of v2 later
    Then new requests may go to v1
    And the roll-out is reverted

  Scenario Outline: What relays report to a new coordinator
    Given an order for "v2" in a service whose upstreams are of "v1" and "v2"
    When a new coordinator reads the status running of v2
    And relays report <first> and <second> sends of <requests> requests
    Then it counts <counted> sends
    And its counts are complete

    Examples:
      | first | second | requests | counted |
      | 12    | 30     | 400      | 30      |
      | 30    | 12     | 400      | 30      |

  Scenario: All relays have ended
    Guards against a slack that is used once more after each restart.
    Given an order for "v2" in a service whose upstreams are of "v1" and "v2"
    When a new coordinator reads the status running of v2
    Then its counts are partial

  Scenario Outline: All relays have ended, and then a coordinator dies
    Guards against a slack that is used twice, since relays report only what
    they know from the time after their restart.
    Given an order for "v2" in a service whose upstreams are of "v1" and "v2"
    When a new coordinator reads the status running of v2
    And relays report <first> and then <second> counts
    Then its counts are <counts>

    Examples:
      | first    | second   | counts   |
      | partial  | partial  | partial  |
      | partial  | complete | complete |
      | complete | partial  | complete |

  Scenario: Partial counts are reported before the status is read
    Given an order for "v2" in a service whose upstreams are of "v1" and "v2"
    When relays report partial and then partial counts
    And a new coordinator reads the status running of v2
    Then its counts are partial

  Scenario Outline: A coordinator hands over what it judged of times
    Guards against slow answers that a new coordinator does not know of, and
    against a good version that is blamed for slow answers of both versions.
    Given an order for "v2" in a service whose upstreams are of "v1" and "v2"
    When a new coordinator reads the status running of v2
    And relays report 20 good answers, <slow> of them slow, and <old_slow> slow of 200 old ones
    Then the new version is <verdict>

    Examples:
      | slow | old_slow | verdict |
      | 8    | 0        | bad     |
      | 8    | 60       | not bad |
      | 0    | 0        | not bad |

  Scenario Outline: A relay reports many failures to a new coordinator
    Guards against a good version that is reverted since one upstream crashed
    with many streams under the former coordinator.
    Given 0 of 300 answers of the old version are bad
    And <bad> of 20 answers of 2 new upstreams are bad
    And a relay reports 20 failures of 30 answers
    When the evidence is judged again after 0.2 seconds
    Then the roll-out is <stage>
    And its share is not raised

    Examples:
      | bad | stage    |
      | 0   | canary   |
      | 1   | canary   |
      | 4   | reverted |

  Scenario Outline: A version whose 50 bad answers stay doubtful
    Guards against a version that is doubtful, but never bad enough, and gets
    requests later than the bound allows.
    Given 300 of 3000 answers of the old version are bad
    And <bad> of 1300 answers of 2 new upstreams are bad
    When the evidence is judged again after <seconds> seconds
    Then the roll-out is <stage>

    Examples:
      | bad | seconds | stage    |
      | 181 | 3       | canary   |
      | 181 | 4.5     | reverted |
      | 150 | 4.5     | canary   |

  Scenario Outline: A decision at the deadline
    Guards against a completion that only memory has while the store is away, or
    a roll-out that runs on after its deadline.
    Given a roll-out with good answers in the stage <stage>, <order>
    And <running> old requests, <phases> phases and a store that is <store>
    When it is judged <left> seconds before the deadline
    Then the roll-out is <end>

    Examples:
      | stage    | order      | running | phases | store     | left | end       |
      | draining | forward    | 0       | all    | available | 0.7  | completed |
      | draining | forward    | 0       | all    | away      | 0.7  | draining  |
      | draining | forward    | 0       | all    | away      | 0.4  | reverted  |
      | draining | forward    | 1       | all    | available | 0.7  | draining  |
      | draining | forward    | 1       | all    | available | 0.4  | reverted  |
      | draining | forward    | 0       | lost   | available | 0.4  | reverted  |
      | draining | taken back | 0       | all    | away      | 0.4  | draining  |
      | draining | taken back | 0       | lost   | available | 0.4  | completed |
      | draining | taken back | 1       | all    | available | 0.4  | draining  |
      | raising  | forward    | 1       | all    | away      | 1.6  | raising   |
      | raising  | forward    | 1       | all    | away      | 1.4  | reverted  |
      | raising  | forward    | 1       | all    | available | -10  | reverted  |
      | canary   | forward    | 1       | all    | away      | -10  | canary    |
      | canary   | forward    | 1       | all    | available | -10  | reverted  |
      | draining | forward    | 0       | all    | available | -10  | completed |

  Scenario: A doubtful version while the store is away
    Guards against doubtful versions that get requests beyond the deadline.
    Given a roll-out with doubtful answers in the stage raising, forward
    And 1 old requests, all phases and a store that is away
    When it is judged 1.4 seconds before the deadline
    Then the roll-out is reverted

  Scenario: Requests after the deadline
    Guards against a bound that grows after the deadline.
    Given a roll-out with good answers in the stage raising, forward
    When a request is granted 1 seconds before the deadline
    And a request is granted -1 seconds before the deadline
    Then 1 request is counted
