Feature: Malformed answers are no answers

  Guards against an answer whose body or headers are not those of the upstream,
  since the HTTP library reads what is no HTTP in its own way: it takes a line
  without a colon for the end of the head, and a length that is no number for
  none.

  Scenario Outline: A malformed answer is lost
    Given a faulty upstream of the relay
    Then none of the <answers> is read as an answer

    Examples:
      | answers          |
      | malformed lines  |
      | malformed names  |
      | malformed chunks |
      | truncated chunks |
      | odd statuses     |

  Scenario: Sound answers that are unusual are read
    Given a faulty upstream of the relay
    Then each of the sound answers is read as an answer
