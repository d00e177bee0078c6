Feature: Agents accept claims before their list names them as committers

  An entry may read the platform's list up to half a second before an agent
  does. The agent must not refuse claims of the entry in that time.

  Scenario: A claim in memory arrives before the list
    Given an agent that has read no list
    When an entry sends a claim in memory
    Then the claim is granted

  Scenario: A durable claim arrives before the list
    Given an agent that has read no list
    When an entry sends a durable claim
    Then the log is read
    When the read reaches the end of the log
    Then the claim is appended
    And the claim is not refused

  Scenario: The list arrives after the claim
    Given an agent that has read no list
    When an entry sends a claim in memory
    And the list names the agent as a committer
    And another request claims the same key
    Then the reply names the request that holds the key
