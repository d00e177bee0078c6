Feature: An accepted change holds at every reader and never reverts

  Guards against readers that differ at one offset, an old state that comes
  back through a paused writer, a late copy or a dropped record, and two
  operators who are both told that their change came first.

  Scenario: All readers agree under races, lost answers, retention and restarts
    Then 40 histories of 80 steps agree with the oracle

  Scenario: Memory for what was removed is bounded
    Given a reducer that remembers 100 records
    When 1000 accounts come and go with their keys and drains
    Then the state holds at most 100 of each

  Scenario: What is set again is not forgotten
    Given a reducer that remembers 100 records
    When a contract and a drain are undone, set again, and 300 records pass
    Then both are in force with their versions

  Scenario: A removed contract's keys stay withdrawn after a new contract
    Given the account "kiosk" with the key "k1"
    When the contract is removed and put again
    Then the key "k1" is withdrawn
    And a grant written before the removal is rejected when it arrives

  Scenario: A grant of unknown outcome can be made certain
    Given the account "kiosk" with the key "k1"
    When the key id "k2" is withdrawn before its grant arrives
    Then the grant of "k2" is rejected

  Scenario: A record that comes too late is rejected, not applied
    Given a reducer that remembers 100 records
    When a removed contract's put arrives again 101 records later
    Then the late put is rejected and the account has no contract

  Scenario: Faulty records change no reader
    Then 3000 random records leave a state that equals its own copy

