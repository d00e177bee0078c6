Feature: Streams go on at the software version that began them

  Guards against streams that hold events of two versions of a service, against
  versions that are guessed, and against callers who wait for a version that
  does not come back.

  Background:
    Given upstreams of two versions, each with 1 prefill and 2 decode upstreams

  Scenario: A bound prompt is read and run at its version
    Guards against a KV cache or a decode upstream of another version.
    When 40 prompts bound to "v2" arrive one after the other
    Then all run, and only at upstreams of "v2"

  Scenario: New prompts use all versions
    When 4 prompts arrive
    Then they run at both versions

  Scenario: A version without a prefill upstream
    Guards against a prefill at another version.
    Given the prefill upstreams of "v1" leave
    When a prompt bound to "v1" arrives
    Then it runs at an upstream of "v1" without a separate prefill

  Scenario: A version that has left
    Guards against a wait for a version that does not come back.
    Given the upstreams of "v1" leave
    When a prompt bound to "v1" arrives
    Then it is rejected at once, without a time to come back

  Scenario: The last upstream of a version leaves while a prompt waits for it
    Guards against a prompt that waits until its deadline.
    Given the decode upstreams of "v1" have no memory left
    When a prompt bound to "v1" arrives
    And the upstreams of "v1" leave
    Then it is rejected at once, without a time to come back

  Scenario: The list of upstreams is too old to tell
    Guards against the rejection of a stream that another list would allow.
    Given the upstreams of "v1" leave
    And the list of upstreams is too old
    When a prompt bound to "v1" arrives
    Then it waits

  Scenario: A bound prompt that waits holds back no others
    Guards against new prompts that wait for the memory of one version.
    Given the decode upstreams of "v1" have no memory left
    When a prompt bound to "v1" arrives
    And 2 prompts arrive
    Then the later ones run

  Scenario: A stream whose version is known
    Given a stream has begun at "v2"
    When a prompt goes on with it
    Then it runs at an upstream of "v2"

  Scenario: A stream whose version was saved
    Guards against a rejection before the saved starts have been read.
    When a prompt goes on with a stream
    Then it waits
    When the saved starts are read, and the stream began at "v2"
    Then it runs at an upstream of "v2"

  Scenario: A stream that nobody knows
    Guards against a version that is guessed.
    When a prompt goes on with a stream
    And the saved starts are read without it
    Then it is rejected at once, without a time to come back

  Scenario: A read that began before the prompt arrived
    Guards against a rejection by a read that may have missed the start.
    Given a read of the saved starts is under way
    When a prompt goes on with a stream
    And that read ends
    Then it waits

  Scenario: The saved starts cannot be read
    Guards against a caller who waits for the store.
    When a prompt goes on with a stream
    And the store is unavailable
    Then it is rejected at once, with a time to come back

  Scenario: The saved starts are not read in time
    When a prompt goes on with a stream
    And 0.7 seconds pass without an answer of the store
    Then it is rejected at once, with a time to come back

  Scenario: Another instance has not reported its streams yet
    Guards against a rejection by a new coordinator that has not heard of all.
    Given another instance has not reported to this new coordinator
    When a prompt goes on with a stream
    And the saved starts are read without it
    Then it waits
    When that instance reports that the stream began at "v1"
    Then it runs at an upstream of "v1"

  Scenario: A prompt that is withdrawn while it waits for its version
    When a prompt goes on with a stream
    And it is withdrawn
    And the saved starts are read, and the stream began at "v2"
    Then nothing runs

  Scenario: A request id that began streams at two versions
    Guards against a version that is guessed because an id was used again.
    Given a stream has begun at "v2"
    And a stream has begun at "v1"
    When a prompt goes on with it
    And the saved starts are read, and the stream began at "v1"
    Then it is rejected at once, without a time to come back

  Scenario: Starts are saved once
    Given a stream has begun at "v2"
    Then it is handed over to be saved once

  Scenario: Memory is bounded
    Given 40000 streams have begun at "v1"
    Then the newest 32768 are known and the others are not

  Scenario: Random histories of streams, coordinators and saved starts
    Guards against a stream that is bound to a version which did not begin it.
    When 300 random histories of coordinators that end, begin and read are run
    Then no stream is bound to another version than its own
    And each stream that was saved, or is known to a living instance, is bound
