Feature: Malformed answers are no answers

  Guards against an answer whose body or headers are not those of the upstream,
  since the HTTP library reads what is no HTTP in its own way: it takes a line
  without a colon for the end of the head, and a length that is no number for
  none.

  Scenario Outline: A malformed answer is lost
    Given a faulty upstream of the relay
    Then none of the <answers> is read as an answer

    Examples:
      | answers           |
      | malformed lines   |
      | malformed names   |
      | malformed chunks  |
      | truncated answers |
      | odd statuses      |

  Scenario Outline: What follows a malformed answer is not the next one
    Guards against the rest of a connection that is read as the answer to a
    later request.
    Given a faulty upstream of the relay
    Then after each of the <answers>, kept open, the next request gets its own on a new connection

    Examples:
      | answers         |
      | malformed lines |
      | malformed names |
      | odd statuses    |

  Scenario: Sound answers that are unusual are read
    Given a faulty upstream of the relay
    Then each of the sound answers is read as an answer
