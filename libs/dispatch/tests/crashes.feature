Feature: The coordinator holds back requests that crash upstreams

  Guards against a part of a prompt that crashes one upstream after the other,
  and against crashes that are counted twice, too late or not at all.

  Scenario: A request that waits is rejected when its part is found to crash upstreams
    Guards against requests that were queued before the attribution and crash
    another upstream after it.
    Given 4 decode upstreams
    And a prompt with the part "broken" that waits for a placement
    When 3 prompts with the part "broken" crash an upstream each
    Then the waiting prompt is rejected as not run, with a time to return
    And its account is not charged for it

  Scenario: A crash that is confirmed twice counts once
    Guards against a refused connection to a restarted upstream that counts as
    a crash of that one.
    Given 4 decode upstreams
    When 2 prompts with the part "broken" crash an upstream each
    And the last crash is confirmed once more by the list and by a refused connection
    Then prompts with the part "broken" are placed

  Scenario: A loss that is reported after its crash belongs to that crash
    Given 4 decode upstreams
    When 3 upstreams crash while each starts a prompt with the part "broken", whose loss is reported last
    Then prompts with the part "broken" are rejected

  Scenario: A loss that is noticed seconds after its crash belongs to that crash
    Guards against a silent upstream whose requests time out one after the
    other, so that one crash counts several times against a part.
    Given 4 decode upstreams
    When an upstream falls silent while it starts 3 prompts with the part "shared", which time out 1.5 seconds apart
    Then prompts with the part "shared" are placed

  Scenario: Streams that end with an upstream that leaves show no crash
    Given 4 decode upstreams
    When 3 upstreams that leave end while each starts a prompt with the part "broken"
    Then prompts with the part "broken" are placed

  Scenario: A lost connection to an upstream that answers later shows no crash
    Guards against connections that are reset, followed by a crash for another
    reason.
    Given 4 decode upstreams
    When 4 prompts with the part "broken" lose their connections, and their upstreams answer others and crash later
    Then prompts with the part "broken" are placed

  Scenario: Prompts that crash prefill upstreams are rejected as well
    Given 4 prefill and 1 decode upstreams
    When 3 prompts with the part "broken" crash a prefill upstream each
    Then prompts with the part "broken" are rejected

  Scenario Outline: A new coordinator counts on after <before> crashes
    Guards against crashes that start anew with each coordinator.
    Given 4 decode upstreams
    When <before> prompts with the part "broken" crash an upstream each
    And 2 instances report these crashes to a new coordinator
    And <after> prompts with the part "broken" crash an upstream each
    Then prompts with the part "broken" are rejected

    Examples:
      | before | after |
      | 1      | 2     |
      | 2      | 1     |
      | 3      | 0     |

  Scenario: A new coordinator does not reject what upstreams completed since
    Guards against the rejection of sound requests that ran on upstreams as
    these crashed.
    Given 4 decode upstreams
    When 3 prompts with the part "shared" crash an upstream each
    And 2 instances report these crashes to a new coordinator
    And one of them reports that upstreams completed the part "shared" since
    Then prompts with the part "shared" are placed

  Scenario: A content that an earlier coordinator rejected gets its trial as well
    Guards against a content that is held back for longer after a change of
    the coordinator.
    Given 4 decode upstreams
    When a prompt crashes 3 upstreams
    And 2 instances report these crashes to a new coordinator
    And they report that the prompt was rejected
    Then the prompt is placed as a trial 10.1 seconds after its last crash
