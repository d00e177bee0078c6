Feature: A process can start from a peer's copy of the configuration

  Guards against a copy that no link carries, one that reverts what a process
  knows, and one that fills its memory.

  Scenario: The copy of 22,000 accounts fits into one frame
    Given a keeper with 22000 accounts, a key and two shares each
    Then its copy is smaller than the largest frame
    And a fresh keeper that takes the copy has the same state

  Scenario: An older copy changes nothing
    Given a keeper at offset 9
    When it takes a copy at offset 7
    Then it is still at offset 9

  Scenario: A faulty or endless copy changes nothing
    Given a keeper at offset 9
    When it takes bytes that are no copy
    And it takes a copy that would unpack to 200 megabytes
    Then it is still at offset 9
