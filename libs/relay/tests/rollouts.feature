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

  Scenario Outline: What a relay reports to a coordinator
    Guards against answers that are counted twice after a link has broken, or
    that a new coordinator does not learn of.
    Given a relay with 3 answers of "v2" under the coordinator "a/1"
    And one more that "a/1" granted and that ended under "b/1"
    When it reports to <coordinator>
    Then it reports <answers> answers, <slow> slow ones and 12 sends

    Examples:
      | coordinator | answers | slow |
      | b/1         | 4       | 2    |
      | b/2         | 4       | 2    |

  Scenario Outline: A relay hands on whether counts are missing
    Guards against a slack that is used twice after a restart of all relays.
    Given a relay with grants of <first> and then <second> counts
    When it reports to b/1
    Then it reports <counts> counts over the wire

    Examples:
      | first    | second   | counts   |
      | partial  | partial  | partial  |
      | partial  | complete | complete |
      | complete | complete | complete |

  Scenario: A relay reconnects to its coordinator
    Guards against answers that are counted twice after a link has broken.
    Given a relay with 3 answers of "v2" under the coordinator "a/1"
    When it reports to a/1
    Then it reports 0 answers, 0 slow ones and 12 sends
