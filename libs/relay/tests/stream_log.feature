Feature: The starts of streams outlive the relays

  Guards against streams whose version nobody knows after all relays have ended,
  and against a topic of the store that grows without end.

  Scenario: Saved starts are read by another relay
    Given a relay that saves the starts of 30 streams
    When another relay reads the saved starts
    Then it knows the version of all 30 streams

  Scenario: A relay that reads again gets what is new
    Guards against a relay that handles the whole topic with each read.
    Given a relay that saves the starts of 30 streams
    When another relay reads the saved starts
    And the first relay saves the starts of 3 more
    And the other relay reads the saved starts
    Then it was told of 30 starts and then of 3

  Scenario: The topic keeps the newest records only
    Given a relay that saves the starts of 700 streams, one after the other
    When another relay reads the saved starts
    Then it knows the version of the newest 512 streams and no others

  Scenario: Another relay goes on with the ring
    Guards against a new coordinator that replaces the newest records.
    Given a relay that saves the starts of 500 streams, one after the other
    And a second relay that saves the starts of 100 streams, one after the other
    When another relay reads the saved starts
    Then it knows the version of the newest 512 streams and no others

  Scenario: The store is away
    Guards against starts that are forgotten because they could not be saved.
    Given a store that is away
    And a relay that saves the starts of 30 streams
    When the store is back
    And another relay reads the saved starts
    Then it knows the version of all 30 streams

  Scenario: The saved starts cannot be read
    Given a relay that saves the starts of 30 streams
    And a store that is away
    When another relay reads the saved starts
    Then it is told that they cannot be read

  Scenario: A store that is restored without the records
    Guards against starts that the store has lost though a relay knows them.
    Given a coordinator that has saved the starts of 30 streams
    When the store is restored without them, and the coordinator learns of it
    And another relay reads the saved starts
    Then it knows the version of all 30 streams

  Scenario: A store that is away for long
    Guards against memory that grows until the store is back.
    Given a store that is away
    And a relay that saves the starts of 40000 streams
    Then it keeps the newest 32768 of them

  Scenario: Records that cannot be read
    Given records that are no msgpack, a list, and a map of other types
    And a relay that saves the starts of 30 streams
    When another relay reads the saved starts
    Then it knows the version of all 30 streams

  Scenario: A new coordinator is told of the streams of the last minute
    Given a relay at which 5 streams began 70 seconds ago and 3 just now
    Then it reports the 3 streams, each with its version

  Scenario: The memory for streams is bounded
    Given a relay at which 5000 streams began just now
    Then it reports the newest 4096

  Scenario: A stream is taken up at the service that began it
    Guards against a route that is split and chooses a service anew.
    Given a route that is split over 3 services
    Then the services of 3000 requests are distributed by the weights
    And each request that names one of them goes to the same service

  Scenario Outline: A grant that does not keep to the version is returned
    Guards against a coordinator that does not know of versions.
    Given a relay with a link to its coordinator
    When a request that is bound <to> is granted an upstream of "<version>"
    Then the grant is <outcome>

    Examples:
      | to             | version | outcome  |
      | to nothing     |         | used     |
      | to nothing     | v2      | used     |
      | to version v1  | v1      | used     |
      | to version v1  | v2      | returned |
      | to version v1  |         | returned |
      | by its stream  | v1      | used     |
      | by its stream  |         | returned |
