Feature: Links transfer messages between authenticated processes

  Guards against commands from unauthenticated processes, replayed frames, and
  frames that exhaust the memory of a process or crash it.

  Scenario: A message arrives unchanged on an authenticated link
    Given a listener with the secret "one"
    When a process with the secret "one" dials it and sends a heartbeat
    Then the listener receives the same heartbeat

  Scenario: A process with a wrong secret is rejected
    Given a listener with the secret "one"
    When a process with the secret "two" dials it
    Then the dialer is rejected as unauthenticated
    And the listener has accepted no link

  Scenario: A replayed frame is rejected
    Given the frames of two messages with the same key
    When the reader receives the first frame twice
    Then the reader rejects the second copy

  Scenario: A modified frame is rejected
    Given the frames of two messages with the same key
    When the reader receives the first frame with one modified byte
    Then the reader rejects the frame

  Scenario: An oversized frame is rejected
    Given the frames of two messages with the same key
    When the reader receives a frame over the limit
    Then the reader rejects the frame as malformed

  Scenario: Any payload decodes to a message, to None or to a failure
    Then 3000 random payloads decode without an exception

  Scenario: Every message is unchanged after encoding and decoding
    Then each message class decodes to the encoded message

  Scenario: Placement messages of the previous version are decoded
    Guards against decoding errors while relays of two versions run during a
    rolling update.
    Then a request and a grant of the previous version have default values

  Scenario: Additional fields of a newer version are ignored
    When a heartbeat with an additional field is decoded
    Then the heartbeat equals the one without the field

  Scenario: A link to an unresponsive peer times out
    Given a listener that accepts a link and then sends nothing
    When the dialer waits for a message on the link
    Then the link is closed by a time-out within 6 seconds

  Scenario: The previous build ignores messages that it does not know
    Guards against links that close between two builds while a fleet is
    upgraded, because a new message has the version of the old build.
    Given a build with version 2 that knows no tag above 53
    Then it ignores reports of crashes and of completed parts
    And it reads the heartbeats of this build

  Scenario: A build with the crash reports ignores what upstreams state
    Guards against links that close between two builds while a fleet is
    upgraded.
    Given a build with version 3 that knows no tag above 55
    Then it ignores the statements of upstreams
    And it reads the heartbeats of this build

  Scenario: Both ends of a link break it when sent bytes are not acknowledged
    Guards against a link that goes silent without a reset and carries neither
    requests nor answers until its receive time-out.
    Given a listener with the secret "s3cret"
    When a process with the secret "s3cret" dials it and sends a heartbeat
    Then the listener receives the same heartbeat
    And unacknowledged bytes break the link at both ends within 1 second

  Scenario Outline: A listener goes on after it could not accept a connection
    Guards against a process that is unreachable until its restart, because it
    once had no file descriptor or thread left for a connection.
    Given a listener with the secret "one" that once has no <resource> left
    When a process with the secret "one" dials it and sends a heartbeat
    Then the listener receives the same heartbeat

    Examples:
      | resource   |
      | descriptor |
      | thread     |
