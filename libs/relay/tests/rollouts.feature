Feature: The status of a roll-out in the store

  Guards against statuses that are lost while the store is unavailable, that a
  former coordinator writes, or that a new one does not read.

  Background:
    Given a store and two relays with an order to move "app" to "v2"

  Scenario: The coordinator writes the status
    When the first relay coordinates
    Then the status in the store is "running"

  Scenario: A relay that does not coordinate writes nothing
    When nobody coordinates
    Then the store has no status

  Scenario: The store is unavailable
    When the store is unavailable
    And the first relay coordinates
    Then the store has no status
    And the new version gets nothing
    When the store answers again
    Then the status in the store is "running"

  Scenario: The roll-out is reverted while the store is unavailable
    When the first relay coordinates
    And the store is unavailable
    And the first relay reverts the roll-out
    Then the status in the store is "running"
    When the store answers again
    Then the status in the store is "reverted"

  Scenario: Another relay coordinates after that
    Guards against a version that a new coordinator uses again.
    When the first relay coordinates
    And the first relay reverts the roll-out
    And the second relay coordinates instead
    Then the second relay has reverted the roll-out

  Scenario: A former coordinator decides once more
    Guards against a status of the present coordinator that is replaced.
    When the first relay coordinates
    And the second relay coordinates as well
    And the second relay reverts the roll-out
    And the first relay completes the roll-out without a read
    Then the status in the store is "reverted"
    And the first relay has reverted the roll-out
