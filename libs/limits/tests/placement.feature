Feature: Every share finds one holder, and no live holder loses one

  The evidence period is 5 seconds and the list lags by up to 3 seconds.

  Scenario: The shares of an account lie in different zones
    Guards against an account that stops when a zone fails.
    Given 60 agents in 3 zones and 100 accounts
    When all agents propose
    Then each share is proposed by exactly one agent
    And the shares of each account are in different zones
    And no agent holds more than 12 shares

  Scenario: A silent holder in the list keeps its share
    Guards against two holders where one is only cut off.
    Given 60 agents in 3 zones and 100 accounts
    When all agents propose
    And 3600 seconds pass without any news
    Then nothing is proposed

  Scenario: A gone holder's share moves after evidence and lag
    Guards against a new holder while the earlier one may still grant.
    Given 60 agents in 3 zones and 100 accounts
    When all agents propose
    And a holder leaves the list
    And 7.9 seconds pass without any news
    Then nothing is proposed
    When 0.2 seconds pass without any news
    Then all shares of the holder are proposed in other zones than their twins

  Scenario: A holder that left before this process started is replaced
    Guards against shares that stay without holder after a restart of all.
    Given 60 agents in 3 zones and 100 accounts
    When a share is assigned to an agent that no list names
    And 0.1 seconds pass and the list is read again
    And 3.1 seconds pass and the list is read again
    And 7.9 seconds pass without any news
    Then its share is not proposed
    When 0.2 seconds pass without any news
    Then its share is proposed

  Scenario: Another agent takes a share that the first does not take
    Guards against a share without holder while an agent is paused.
    Given 60 agents in 3 zones and 100 accounts
    When all agents propose but nothing reaches the log
    And 5.1 seconds pass without any news
    Then most shares are proposed by other agents than before

  Scenario: Nothing is computed while nothing changes
    Guards against a tick whose cost grows with accounts and agents.
    Given 7600 agents in 6 zones and 22000 accounts
    When all shares are held
    Then 100 ticks look at no share
