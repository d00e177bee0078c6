Feature: An invalid document is rejected with all its faults

  Guards against an invalid document that takes effect, and against a check
  that stops at the first fault, so that the operator corrects and publishes
  again once for each fault.

  Scenario Outline: <document> with <fault>
    When <document> is checked with <fault>
    Then the faults are at <paths>

    Examples:
      | document        | fault                        | paths                                               |
      | a configuration | no fault                     | nothing                                             |
      | a contract      | no fault                     | nothing                                             |
      | a configuration | a doubled model              | $.models                                            |
      | a configuration | a doubled route              | $.routes $.routes                                   |
      | a configuration | a bad method and path        | $.routes[0].method $.routes[0].path                 |
      | a configuration | an unknown member            | $.colour                                            |
      | a configuration | shares out of range          | $.shares_per_account                                |
      | a configuration | more output than context     | $.models[0].output_tokens                           |
      | a configuration | numbers as text              | $.models[0].context_tokens $.shares_per_account     |
      | a configuration | a list instead of an object  | $                                                   |
      | a configuration | 3000 routes                  | $ $.routes $.routes                                 |
      | a contract      | rates out of range           | $[0].tokens_per_second $[0].burst_tokens            |
      | a contract      | unknown references           | $[0].models $[0].routes                             |
      | a contract      | a missing name               | $[0].client_account                                 |
      | a contract      | a name with a slash          | $[0].client_account                                 |
      | a contract      | its account twice            | $                                                   |
      | a contract      | a model twice                | $[0].models                                         |

  Scenario: A model that contracts refer to can't be removed
    When a configuration without the model of 2 contracts is checked
    Then one fault names the model and the 2 contracts
