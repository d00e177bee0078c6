Feature: Decode upstreams are chosen by the measured times of transfers

  A prompt of 3200 tokens is a KV cache of 1.05 GB, which takes 24 ms over
  350 Gbit/s and 48 ms between zones. Guards against requests that wait for
  slow transfers while other decode upstreams have memory, and against
  upstreams that stay avoided once their transfers are fast again.

  Scenario Outline: Slow transfers are avoided while they are slow
    Given 6 prefill and 9 decode upstreams in 3 zones that learn transfers
    When transfers <cause> take <factor> times as long for 40 seconds
    Then at most <part> of the requests after 10 seconds waited for one
    And it was tried again at least <trials> times after 10 seconds

    Examples: causes
      | cause                 | factor | part | trials | # load                 |
      | to decode-1           | 8      | 0.05 | 2      | # a slow upstream      |
      | from prefill-1        | 8      | 0.05 | 2      | # a slow upstream      |
      | from zone-0 to zone-1 | 16     | 0.05 | 2      | # a slow link          |
      | to decode-1           | 100    | 0.05 | 2      | # almost no bandwidth  |

  Scenario Outline: Transfers that are fast again are used again
    Given 6 prefill and 9 decode upstreams in 3 zones that learn transfers
    When all transfers are normal for 20 seconds
    And transfers <cause> take <factor> times as long for 15 seconds
    And all transfers are normal for 40 seconds
    Then it got at least 0.6 of its share of the first 20 seconds again

    Examples: causes
      | cause                 | factor |
      | to decode-1           | 8      |
      | from prefill-1        | 8      |
      | from zone-0 to zone-1 | 16     |

  Scenario: An upstream whose transfers fail
    Packets are lost, so that the decode upstream rejects what it cannot fetch.
    Given 6 prefill and 9 decode upstreams in 3 zones that learn transfers
    When transfers to decode-1 fail for 40 seconds
    Then at most 0.05 of the requests after 10 seconds waited for one

  Scenario: All transfers are slow at once
    Guards against an exclusion of all upstreams.
    Given 6 prefill and 9 decode upstreams in 3 zones that learn transfers
    When all transfers take 8 times as long for 40 seconds
    Then each prompt got a placement
    And each decode upstream got at least 0.33 of its equal share

  Scenario: Short noise
    15 in 100 first events come 2.5 times later.
    Given 6 prefill and 9 decode upstreams in 3 zones that learn transfers
    When first events are late at random for 60 seconds
    Then at most 1 change was logged in a minute
    And each decode upstream got at least 0.5 of its equal share

  Scenario: The only decode upstream is slow
    Given 2 prefill and 1 decode upstreams in 1 zones that learn transfers
    When transfers to decode-0 take 8 times as long for 10 seconds
    Then each prompt got a placement

  Scenario: Measured transfers between zones replace the fixed penalty
    Transfers between zones cost 24 ms of 700, so that an upstream with free
    memory in another zone is better than a busy one in the same zone.
    Given 6 prefill and 9 decode upstreams in 3 zones that learn transfers
    When all transfers are normal for 20 seconds
    Then a transfer from zone-0 to zone-1 is penalised by 0.01 to 0.1

  Scenario Outline: Without measurements the penalty is fixed
    Given 6 prefill and 9 decode upstreams in 3 zones that <learn> transfers
    When all transfers are normal for <seconds> seconds
    Then a transfer from zone-0 to zone-1 is penalised by <least> to <most>

    Examples: coordinators
      | learn        | seconds | least | most |
      | learn        | 0       | 0.1   | 0.1  |
      | do not learn | 20      | 0.3   | 0.3  |

  Scenario: Slow transfers are logged once
    Given 6 prefill and 9 decode upstreams in 3 zones that learn transfers
    When transfers to decode-1 take 16 times as long for 15 seconds
    And all transfers are normal for 40 seconds
    Then the log says that destination decode-1 became slow and then normal

  Scenario: Short prompts
    Guards against noise of some milliseconds that counts as a slow link, since
    it is scaled up to the size of large prompts.
    Given 6 prefill and 9 decode upstreams in 3 zones that learn transfers
    When prompts have 100 tokens and first events are late at random
    Then at most 1 change was logged in a minute

  Scenario: Ended upstreams are forgotten
    Then 5000 upstreams that came and went leave at most 2100 estimates
