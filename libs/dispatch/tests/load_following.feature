Feature: The split between prefill and decode follows the load

  Eight engines of 31,000 tokens serve prompts of 6,500 tokens with answers of
  120 tokens, then prompts of 2,500 with answers of 900, and back. Guards
  against a pool that stays the bottleneck long after the load has changed, and
  against changes, each of which costs an engine six seconds, that gain nothing.

  Scenario Outline: Long prompts change to long answers and back
    Given 4 prefill and 4 decode engines that follow the load, seed <seed>
    When long prompts and long answers take turns every 40 seconds for 160
    Then at least <part> were served in time from 10 to 20 seconds after a change
    And at most 11 upstreams changed
    And more requests were served in time than by the slower average

    Examples: seeds
      | seed | part |
      | 1    | 0.88 |
      | 2    | 0.85 |
      | 3    | 0.9  |

  Scenario Outline: A load that alternates faster than engines change
    Given 4 prefill and 4 decode engines that follow the load, seed 9
    When long prompts and long answers take turns every <seconds> seconds for 120
    Then at most <most> upstreams changed

    Examples: turns
      | seconds | most |
      | 4       | 8    |
      | 10      | 12   |

  Scenario Outline: Requests of very different sizes, but of a steady mix
    Given 4 prefill and 4 decode engines that follow the load, seed 9
    When requests average <prompt> and <output> tokens at <rate> a second for 120 seconds
    Then at most <most> upstreams changed

    Examples: mixes
      | prompt | output | rate | most |
      | 6500   | 120    | 16   | 5    |
      | 2500   | 900    | 14   | 2    |
      | 3200   | 300    | 18   | 2    |

  Scenario: A load that both pools can serve
    Guards against changes for single sizes while nothing is the bottleneck.
    Given 4 prefill and 4 decode engines that follow the load, seed 1
    When requests average 3200 and 300 tokens at 2 a second for 60 seconds
    Then at most 2 upstreams changed

  Scenario: Without the switches the slower average decides alone
    Given 4 prefill and 4 decode engines with the default settings, seed 1
    When long prompts and long answers take turns every 40 seconds for 80
    Then the work of the last seconds was not kept
