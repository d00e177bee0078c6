Feature: Malformed answers of a platform service are no answers

  Guards against a part of an answer, or another one, that is taken for what
  the service said. Runs the client of the log against a faulty service.

  Scenario Outline: A malformed answer counts as none
    Given a faulty log service
    Then none of the <answers> is the answer to an append

    Examples:
      | answers           |
      | malformed lines   |
      | malformed names   |
      | malformed chunks  |
      | truncated answers |

  Scenario Outline: Unusable JSON counts as no answer
    Guards against a thread that ends, since the JSON library has errors and
    values of its own.
    Given a faulty log service
    Then <call> takes no unusable JSON for an answer

    Examples:
      | call               |
      | an append          |
      | a read             |
      | a read of the list |

  Scenario: Sound answers that are unusual count
    Given a faulty log service
    Then each of the sound answers is the answer to an append

  Scenario Outline: A part of an answer that a reset cut off counts as none
    Guards against a verdict on records of which the service has read a part.
    Given a faulty log service
    When it answers with the fault "<fault>", framed by none
    Then calls with bodies of 100, 100000, 4000000 and 16000000 bytes get no answer

    Examples:
      | fault           |
      | early_reset     |
      | midway_reset    |
      | last_byte_reset |
      | late_reset      |
      | half_head       |
