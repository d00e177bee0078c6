Feature: Malformed answers of a platform service are no answers

  Guards against a part of an answer, or another one, that is taken for what
  the service said. Runs the client of the log against a faulty service.

  Scenario Outline: A malformed answer counts as none
    Given a faulty log service
    Then none of the <answers> is the answer to an append

    Examples:
      | answers          |
      | malformed lines  |
      | malformed names  |
      | malformed chunks |
      | truncated chunks |

  Scenario: Sound answers that are unusual count
    Given a faulty log service
    Then each of the sound answers is the answer to an append
