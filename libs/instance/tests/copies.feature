Feature: A process can start from a peer's copy of the configuration

  Guards against a copy that exceeds the size of a frame, an older copy that
  replaces a newer state, and a copy that exhausts the memory.

  Scenario: The copy of 22,000 accounts fits into one frame
    Given a state with 22000 accounts, a key and two shares each
    Then its copy is smaller than the largest frame
    And a process that receives the copy has the same state

  Scenario: An older copy does not replace the state
    Given a state at offset 9
    When a copy at offset 7 is received
    Then the state is still at offset 9

  Scenario: A malformed or oversized copy does not replace the state
    Given a state at offset 9
    When bytes that are not a copy are received
    And a copy that would unpack to 200 megabytes is received
    Then the state is still at offset 9
