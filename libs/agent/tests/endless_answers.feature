Feature: Answers without end are aborted

  Guards against an upstream that sends bytes without end: the agent would keep
  all of them, and end with the requests of others when its memory does.

  Scenario Outline: An answer of a plain service without end
    Given an endless upstream that sends <answer>
    Then a plain service's answer is a fault that is no crash, of <most> megabytes at most

    Examples:
      | answer                   | most |
      | a status line            | 1    |
      | a header                 | 1    |
      | headers                  | 1    |
      | interim answers          | 1    |
      | bytes that are no answer | 1    |
      | a body without a length  | 17   |
      | a body with a length     | 17   |
      | chunks                   | 17   |
      | chunks of a byte         | 17   |
      | a chunk size             | 17   |
      | trailers                 | 17   |

  Scenario Outline: An answer of an engine without end
    Given an endless upstream that sends <answer>
    Then a prefill is a fault that is no crash, of <most> megabytes at most
    And a decode is a fault that is no crash, of 1 megabytes at most

    Examples:
      | answer                   | most |
      | a status line            | 1    |
      | a header                 | 1    |
      | headers                  | 1    |
      | interim answers          | 1    |
      | bytes that are no answer | 1    |
      | a body without a length  | 5    |
      | a body with a length     | 5    |
      | chunks                   | 5    |
      | chunks of a byte         | 5    |
      | a chunk size             | 5    |
      | trailers                 | 5    |
