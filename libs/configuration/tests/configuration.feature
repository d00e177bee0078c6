Feature: An accepted change takes effect at every reader and never reverts

  Guards against readers with different states at one offset, against an old
  state that a paused writer, a late copy or a dropped record restores, and
  against two accepted changes that are based on the same version.

  Scenario: All readers agree under races, lost answers, retention and restarts
    Then 40 histories of 80 steps agree with the oracle

  Scenario: The number of tombstones is bounded
    Given a reducer that keeps tombstones for 100 records
    When 1000 accounts are created and removed with their keys and drains
    Then the state holds at most 100 of each

  Scenario: What is restored does not expire
    Given a reducer that keeps tombstones for 100 records
    When a contract and a drain are removed, restored, and 300 records follow
    Then both are in force with their versions

  Scenario: A removed contract's keys stay withdrawn after a new contract
    Given the account "kiosk" with the key "k1"
    When the contract is removed and put again
    Then the key "k1" is withdrawn
    And a grant written before the removal is rejected when it arrives

  Scenario: A grant of unknown outcome can be prevented
    Given the account "kiosk" with the key "k1"
    When the key id "k2" is withdrawn before its grant arrives
    Then the grant of "k2" is rejected

  Scenario: A record that arrives too late is rejected
    Given a reducer that keeps tombstones for 100 records
    When a removed contract's put arrives again 101 records later
    Then the late put is rejected and the account has no contract

  Scenario: Malformed records do not change the state
    Then 3000 random records leave a state that equals its own copy

