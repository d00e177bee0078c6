Feature: Links carry whole messages between authenticated processes

  Guards against orders from strangers, replayed frames, and frames that
  make a process use unbounded memory or stop.

  Scenario: A message arrives unchanged on an authenticated link
    Given a listener with the secret "one"
    When a process with the secret "one" dials it and sends a heartbeat
    Then the listener receives the same heartbeat

  Scenario: A process without the secret gets no link
    Given a listener with the secret "one"
    When a process with the secret "two" dials it
    Then the dialer is refused as unauthenticated
    And the listener has no link

  Scenario: A recorded frame is refused when it comes again
    Given the frames of two messages under one key
    When the reader gets the first frame twice
    Then the reader refuses the second copy

  Scenario: A changed frame is refused
    Given the frames of two messages under one key
    When one byte of the first frame is changed
    Then the reader refuses it

  Scenario: An oversized frame is refused
    Given the frames of two messages under one key
    When the reader gets a frame over the limit
    Then the reader refuses it as malformed

  Scenario: Any bytes decode to a message or a typed failure
    Then 3000 random payloads never raise an error

  Scenario: Every message survives encoding
    Then each message class decodes to what was encoded

  Scenario: Place messages of the version before are read
    Guards against requests that are misread while relays of two versions
    run side by side.
    Then a request and a grant of the version before have the usual rest

  Scenario: Fields of a newer version are ignored
    When a heartbeat comes with an extra field
    Then the heartbeat is decoded without it

  Scenario: A link to a silent peer closes
    Given a listener that accepts and then stays silent
    When the dialer waits on the link
    Then the link closes within 6 seconds as silent
