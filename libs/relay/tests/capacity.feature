Feature: A relay near its capacity takes fewer new callers

  Guards against relays that take more callers than they can serve while others
  of their zone have capacity left, and against a zone without ready relays.

  Scenario Outline: Uneven load on one relay
    Given a relay in a zone of 7 relays that started 120 seconds ago
    When its <resource> is at <share> of the capacity for <seconds> seconds
    Then it was not ready for <least> to <most> seconds in <periods> periods

    Examples: loads
      | resource | share | seconds | least | most | periods | # load                     |
      | cpu      | 1.0   | 6       | 2.9   | 4.3  | 1       | # the balancer's hash      |
      | requests | 0.95  | 6       | 2.9   | 4.3  | 1       | # long answers             |
      | memory   | 0.9   | 6       | 2.9   | 4.3  | 1       | # large bodies             |
      | link     | 0.8   | 6       | 2.9   | 4.3  | 1       | # many streams, slow link  |
      | cpu      | 1.0   | 0.75    | 0     | 0    | 0       | # a burst of a second      |
      | cpu      | 0.85  | 60      | 0     | 0    | 0       | # high, but served in time |

  Scenario: Load that never ends
    Guards against a relay that is not ready for an eighth of the time, such as
    one whose memory is never returned to the system.
    Given a relay in a zone of 7 relays that started 0 seconds ago
    When its memory is at 0.95 of the capacity for 600 seconds
    Then it was not ready for at most 0.08 of the time since any start
    And it was not ready for at most an eighth of any 90 seconds

  Scenario: Load that a restart brings
    Given a relay in a zone of 7 relays that started 0 seconds ago
    When its cpu is at 1.0 of the capacity for 9 seconds
    Then it was not ready for 0 to 0 seconds in 0 periods

  Scenario Outline: Load that many relays have
    The balancer uses all relays once fewer than half of a zone are ready.
    Given a relay in a zone of <total> relays that started 120 seconds ago
    When <others> others are <state>
    And its cpu is at 1.0 of the capacity for 6 seconds
    Then it was not ready for <least> to <most> seconds in <periods> periods

    Examples: zones
      | total | others | state   | least | most | periods |
      | 7     | 1      | loaded  | 2.9   | 4.3  | 1       |
      | 7     | 2      | loaded  | 0     | 0    | 0       |
      | 7     | 2      | leaving | 0     | 0    | 0       |
      | 7     | 2      | dead    | 0     | 0    | 0       |
      | 7     | 6      | loaded  | 0     | 0    | 0       |
      | 2     | 0      | loaded  | 0     | 0    | 0       |
      | 3     | 0      | loaded  | 2.9   | 4.3  | 1       |

  Scenario: A store outage that loads the others a second later
    Given a relay in a zone of 7 relays that started 120 seconds ago
    When its cpu is at 1.0 of the capacity for 1.5 seconds
    Then the load makes its answer "not ready"
    When 3 others are loaded
    And its cpu is at 1.0 of the capacity for 0.25 seconds
    Then the load makes its answer "ready"

  Scenario: Load near the limit
    Guards against an answer that changes with each measurement.
    Given a relay in a zone of 7 relays that started 120 seconds ago
    When its cpu changes between 0.75 and 0.95 of the capacity for 60 seconds
    Then its load was announced at most 2 times

  Scenario: Random loads of a fleet whose heartbeats take half a second
    Given 20 random fleets of 21 relays in 3 zones over 200 seconds
    Then every zone had more than half of its relays ready except for 1 second
    And a relay was not ready for at most 0.08 of the time

  Scenario Outline: Bytes that wait in connections
    Given an instance with a link of 5 Mbit/s
    When <bytes> bytes wait in <count> connections of <open> open requests
    Then the link counts as <state>

    Examples: causes
      | bytes   | count | open | state  | # load                           |
      | 150000  | 12    | 16   | loaded | # streams that exceed the link   |
      | 2000000 | 2     | 16   | normal | # two slow callers               |
      | 2000000 | 1     | 1    | normal | # one large answer               |
      | 30000   | 12    | 16   | normal | # a moment's burst               |

  Scenario: The processor's share
    Given an instance with 0.292 cores
    When the process uses 0.25 core seconds a second for 5 seconds
    Then the cpu is near its capacity

  Scenario: Heartbeats of older relays
    Then a heartbeat without zone and load is read as one without load

  Scenario: Reports of transfer times
    Then a report of 1234 ms reaches a coordinator on another relay
    And a report of an older relay states no time

  Scenario: The readiness answer of a real server
    Guards against late or missing answers of callers that are connected while
    the relay is not ready.
    Given servers for callers and probes on loopback
    When the relay's load rises while a caller reads a stream
    Then the probe is answered with 503
    And the caller gets all events within 300 ms of each other
    And a request on a connection that is already open is answered
    When the measurements stop
    Then the probe is answered with 200

  Scenario: The settings switch it off
    Given servers for callers and probes on loopback
    When the relay's load rises while a caller reads a stream
    And the settings are read again without readiness by load
    Then the probe is answered with 200
