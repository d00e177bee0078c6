Feature: The part of an answer that an upstream sent is not its whole answer

  Guards against callers that take the beginning of an answer for all of it,
  because the connection was reset while the request was still being written,
  and against statuses that are no HTTP. Runs the agent's HTTP clients against
  a faulty server.

  Scenario Outline: A part of a plain answer that a reset cut off is a fault
    Given a faulty upstream and the agent's client of plain services
    When it answers with the fault "<fault>", framed by <framing>
    Then bodies of 100, 100000, 4000000 and 16000000 bytes get no whole answer on new connections
    And bodies of 100, 100000, 4000000 and 16000000 bytes get no whole answer on kept connections

    Examples:
      | fault           | framing |
      | early_reset     | none    |
      | early_reset     | chunks  |
      | early_reset     | length  |
      | midway_reset    | none    |
      | midway_reset    | chunks  |
      | last_byte_reset | none    |
      | last_byte_reset | length  |
      | late_reset      | none    |
      | late_reset      | chunks  |
      | late_reset      | length  |

  Scenario: A plain answer that ends inside its head is a fault
    Guards against a 200 with an empty body that looks whole.
    Given a faulty upstream and the agent's client of plain services
    When it answers with the fault "half_head", framed by none
    Then bodies of 100 and 100000 bytes get no whole answer on new connections
    And bodies of 100 and 100000 bytes get no whole answer on kept connections

  Scenario Outline: A status outside 200 to 599 ends no request
    Guards against a status that no caller can interpret. An interim answer is
    none either: the final one would be taken for the next request's.
    Given a faulty upstream and the agent's client of plain services
    When it answers with the fault "status_<status>", framed by length
    Then bodies of 100 and 100000 bytes get no whole answer on new connections
    And bodies of 100 and 100000 bytes get no whole answer on kept connections
    And no fault is taken for a crash of the upstream

    Examples:
      | status |
      | 000    |
      | 099    |
      | 103    |
      | 600    |
      | 999    |

  Scenario: The connection of a faulty answer is not used again
    Given a faulty upstream and the agent's client of plain services
    When it answers with the fault "status_600", framed by length
    Then bodies of 100 and 100000 bytes get no whole answer on kept connections
    And requests after the fault get whole answers on new connections

  Scenario Outline: A decode stream that a fault cut off does not finish
    Given a faulty upstream and the agent's client of engines
    When it answers with the fault "<fault>", framed by <framing>
    Then prompts of 100, 100000 and 4000000 bytes get no answer of the engine

    Examples:
      | fault        | framing |
      | early_reset  | none    |
      | midway_reset | chunks  |
      | late_reset   | none    |
      | half_head    | none    |
      | status_000   | length  |
      | status_302   | length  |
      | status_600   | length  |

  Scenario Outline: A malformed answer of a plain service is a fault
    Guards against an answer whose body or headers are not those of the
    upstream, since the HTTP library reads what is no HTTP in its own way.
    Given a faulty upstream and the agent's client of plain services
    Then none of the <answers> gives a whole answer
    And no fault is taken for a crash of the upstream

    Examples:
      | answers          |
      | malformed lines  |
      | malformed names  |
      | malformed chunks |

  Scenario: Chunks that end before the last one are no whole answer
    Given a faulty upstream and the agent's client of plain services
    Then none of the truncated answers gives a whole answer

  Scenario Outline: A malformed answer of an engine is a fault
    Given a faulty upstream and the agent's client of engines
    Then none of the <answers> gives an answer of the engine

    Examples:
      | answers         |
      | malformed lines |
      | malformed names |

  Scenario: A malformed chunk of an engine is a fault
    Guards against the result of a prefill that is not the engine's. Of a
    stream, nothing is read after its last line.
    Given a faulty upstream and the agent's client of engines
    Then none of the malformed chunks gives the result of a prefill

  Scenario Outline: A run whose engine answers with unusable JSON fails
    Guards against a run that ends without a result and keeps its place, since
    the JSON library has errors and values of its own.
    Given a faulty upstream and the agent's client of engines
    When it answers <run> runs with each kind of unusable JSON
    Then each run sends nothing and ends with a fault, not with a crash

    Examples:
      | run     |
      | prefill |
      | decode  |

  Scenario Outline: A probe whose engine answers with unusable JSON ends
    Guards against an agent that probes no more, since it still waits for the
    end of the last probe.
    Given a faulty upstream and the agent's client of engines
    When it answers a probe with <number> in the <part>
    Then the probe ends with <result>

    Examples:
      | number  | part         | result          |
      | "1e999" | state        | a fault         |
      | "-1"    | state        | a fault         |
      | "0.5"   | state        | a fault         |
      | "null"  | state        | a fault         |
      | "1e999" | cache events | no cache events |
      | "0.5"   | cache events | no cache events |
      | "null"  | cache events | no cache events |

  Scenario Outline: What follows a malformed answer is not the next one
    Guards against the rest of a connection that is read as the answer to a
    later request.
    Given a faulty upstream and the agent's client of plain services
    Then after each of the <answers>, kept open, the next request gets its own on a new connection

    Examples:
      | answers          |
      | malformed lines  |
      | malformed names  |
      | malformed chunks |
      | odd statuses     |

  Scenario: Sound answers that are unusual are whole
    Given a faulty upstream and the agent's client of plain services
    Then each of the sound answers gives a whole answer
