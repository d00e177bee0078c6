Feature: Every share gets one holder, and no live holder loses a share

  The evidence period is 5 seconds and the list lags by up to 3 seconds.

  Scenario: The shares of an account are placed in different zones
    Guards against an account that has no holder when a zone fails.
    Given 60 agents in 3 zones and 100 accounts
    When all agents propose
    Then each share is proposed by exactly one agent
    And the shares of each account are in different zones
    And no agent holds more than 12 shares

  Scenario: An unreachable holder that is still listed keeps its share
    Guards against two holders of a share if one is only partitioned.
    Given 60 agents in 3 zones and 100 accounts
    When all agents propose
    And 3600 seconds pass without updates
    Then nothing is proposed

  Scenario: The share of a holder that is gone moves after evidence and lag
    Guards against a new holder while the previous one may still grant.
    Given 60 agents in 3 zones and 100 accounts
    When all agents propose
    And a holder leaves the list
    And 7.9 seconds pass without updates
    Then nothing is proposed
    When 0.2 seconds pass without updates
    Then its shares are proposed in zones without shares of the same account

  Scenario: A holder that left before this process started is replaced
    Guards against shares that stay without a holder after all agents have
    restarted.
    Given 60 agents in 3 zones and 100 accounts
    When a share is assigned to an agent that no list contains
    And 0.1 seconds pass and the list is read again
    And 3.1 seconds pass and the list is read again
    And 7.9 seconds pass without updates
    Then its share is not proposed
    When 0.2 seconds pass without updates
    Then its share is proposed

  Scenario: Another agent proposes itself if the first choice does not
    Guards against a share without a holder while an agent is paused.
    Given 60 agents in 3 zones and 100 accounts
    When all agents propose but no record reaches the log
    And 5.1 seconds pass without updates
    Then most shares are proposed by other agents than before

  Scenario: No share is checked while nothing changes
    Guards against a tick whose cost grows with accounts and agents.
    Given 7600 agents in 6 zones and 22000 accounts
    When all shares are held
    Then 100 ticks check no share
