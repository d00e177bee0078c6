Feature: A duplicate answer is never sent to another caller

  Guards against an upstream that sends an answer twice, when the second copy
  arrives on a connection that is already in use for the next request.

  Scenario Outline: The copy arrives after the next request was sent
    Given a server that sends <copy> before its second answer
    When two requests are sent to it one after the other
    Then the first request gets its own answer
    And the second attempt is lost, and the connection is not reused

    Examples:
      | copy                          |
      | a copy of its first answer    |
      | a copy that names no request  |

  Scenario: The copy arrives before the next request is sent
    Given a server that sends a copy of its first answer at once
    When two requests are sent to it one after the other
    Then the first request gets its own answer
    And the second request gets its own answer

  Scenario: An answer without a request id is accepted on a new connection
    Given a server that names no request in its answers
    When one request is sent to it
    Then the first request gets its own answer
