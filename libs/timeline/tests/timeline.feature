Feature: One time line shows what all processes did, in order

  Guards against an effect that is shown before its cause, a faulty clock
  that spoils the clocks of others, memory that grows with the events, and
  text of an event that acts in the reader's browser or terminal.

  Scenario: An effect comes after its cause although the clocks differ
    Given a process whose wall clock is 2000 ms ahead of another
    When the first sends a message and the second records its arrival
    Then the merged time line shows the sending first

  Scenario: Stamps of one process always grow
    Then 2000 random local events and messages give growing stamps

  Scenario: A faulty remote clock is not followed
    When a stamp arrives that is an hour ahead
    Then the local stamp stays within a minute of the wall clock

  Scenario: The ring keeps the newest events from several threads
    When 8 threads record 500 events each into a ring of 1000
    Then the ring holds 1000 events and has dropped 3000
    And no two events have the same stamp

  Scenario: One event holds a bounded amount
    When an event with 100 long and nested members is recorded
    Then it holds 16 flat members of at most 200 characters

  Scenario Outline: Events are selected by <member>
    Given events of two requests, accounts and upstreams
    When they are selected by <member> "<value>"
    Then only events with <member> "<value>" remain

    Examples:
      | member         | value |
      | request_id     | r1    |
      | client_account | kiosk |
      | upstream       | u1    |

  Scenario: Events are selected by span
    Given events of two requests, accounts and upstreams
    When they are selected from 2000 to 3000 ms
    Then only the events at 2000 and 3000 ms remain

  Scenario: Events survive the way through JSON
    Given events of two requests, accounts and upstreams
    Then they are equal after JSON, and other data is refused

  Scenario: The page runs nothing and loads nothing
    Given an event whose every text is markup with a script
    Then the page contains the text only in escaped form
    And the page has one lane for each process and no outside address

  Scenario: A line of text cannot act on the terminal
    Given an event whose every text has control characters
    Then the text has one line for the event and no control character

  Scenario: Log files of several processes show one request's way
    Guards against an effect before its cause where clocks differ, and a
    failure whose reason is a change in another process.
    Given log files of two processes whose clocks differ by 2000 ms
    When the time line of one request is made from them
    Then it shows the request's events of both processes in order
    And it shows the change of the coordinator between them
    And it shows no event of other requests
    And lines that are no events are counted
