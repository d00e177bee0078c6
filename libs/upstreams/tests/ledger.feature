Feature: The agent never overloads its engine and frees all its memory

  Guards against engine memory that stays allocated after its request has
  ended, more work than slots, blocks or a cold engine allow, runs of old
  attempts, and tokens of an old attempt after a new one started.

  Scenario Outline: Failures in any order violate no invariant
    Then <runs> random histories of <steps> steps keep the ledger's invariants, sharing prefixes: <sharing>

    Examples:
      | runs | steps | sharing |
      | 150  | 60    | no      |
      | 150  | 60    | yes     |

  Scenario: A message of an old attempt starts nothing after its request ended
    Then a ledger with 2 slots returns these actions
      | at  | event       | actions                       |
      | 0   | reserve a.2 | Granted a.2                   |
      | 0   | start a.2   | StartRun a.2                  |
      | 1   | finish a.2  | Ended a.2 finished            |
      | 100 | reserve a.1 | Dropped a.1 old_attempt       |
      | 100 | start a.1   | Dropped a.1 old_attempt       |
      | 100 | reserve a.2 | Dropped a.2 attempt_ended     |

  Scenario: A cancel before its reservation has effect for a limited time
    Then a ledger with 2 slots returns these actions
      | at  | event       | actions                   |
      | 0   | cancel a.1  | nothing                   |
      | 1   | reserve a.1 | Dropped a.1 attempt_ended |
      | 119 | expire      | nothing                   |
      | 119 | reserve a.1 | Dropped a.1 attempt_ended |
      | 121 | expire      | nothing                   |
      | 121 | reserve a.1 | Granted a.1               |

  Scenario: A cancel after the fetch of a prefill result frees its slot early
    Then a ledger with 1 slots returns these actions
      | at  | event           | actions             |
      | 0   | reserve a.1     | Granted a.1         |
      | 0   | start a.1       | StartRun a.1        |
      | 0.1 | finish a.1 kept | Ended a.1 finished  |
      | 0.2 | reserve b.1     | Queued b.1          |
      | 0.3 | cancel a.1      | CancelRun a.1       |
      | 0.4 | freed a.1       | Granted b.1         |

  Scenario: A prefill result that is not fetched is cancelled when it expires
    Then a ledger with 1 slots returns these actions
      | at  | event           | actions             |
      | 0   | reserve a.1     | Granted a.1         |
      | 0   | start a.1       | StartRun a.1        |
      | 0.1 | finish a.1 kept | Ended a.1 finished  |
      | 0.2 | reserve b.1     | Queued b.1          |
      | 1.2 | expire          | CancelRun a.1       |
      | 1.3 | freed a.1       | Granted b.1         |

  Scenario: A repeated or reordered message has no second effect
    Then a ledger with 1 slots returns these actions
      | at | event       | actions                      |
      | 0  | reserve a.1 | Granted a.1                  |
      | 0  | reserve a.1 | Granted a.1                  |
      | 0  | start a.1   | StartRun a.1                 |
      | 0  | start a.1   | Dropped a.1 already_running  |
      | 0  | tokens a.1  | Delivered a.1                |
      | 0  | tokens a.1  | Dropped a.1 unexpected_index |
      | 0  | start b.1   | Dropped b.1 not_reserved     |

  Scenario: A run without an idempotency key ends with its link
    Then a ledger with 2 slots returns these actions
      | at | event       | actions                           |
      | 0  | reserve a.1 | Granted a.1                       |
      | 0  | start a.1   | StartRun a.1                      |
      | 1  | lose link   | Ended a.1 link_lost, CancelRun a.1 |

  Scenario: A run with an idempotency key goes on for the grace period
    Then a ledger with 2 slots returns these actions
      | at   | event             | actions                          |
      | 0    | reserve a.1 keyed | Granted a.1                      |
      | 0    | start a.1         | StartRun a.1                     |
      | 1    | lose link         | nothing                          |
      | 30.9 | expire            | nothing                          |
      | 31   | expire            | Ended a.1 expired, CancelRun a.1 |

  Scenario: A heartbeat of a link renews all its reservations
    Then a ledger with 2 slots returns these actions
      | at  | event       | actions                               |
      | 0   | reserve a.1 | Granted a.1                           |
      | 0   | reserve b.1 | Granted b.1                           |
      | 0   | start a.1   | StartRun a.1                          |
      | 2   | heartbeat   | nothing                               |
      | 4.9 | expire      | nothing                               |
      | 5   | expire      | Ended a.1 link_lost, CancelRun a.1, Ended b.1 link_lost |
      | 6   | reserve c.1 | Dropped c.1 link_closed               |

  Scenario: A reservation that is not started expires and frees its slot
    Then a ledger with 1 slots returns these actions
      | at | event       | actions                        |
      | 0  | reserve a.1 | Granted a.1                    |
      | 0  | reserve b.1 | Queued b.1                     |
      | 14 | heartbeat   | nothing                        |
      | 15 | expire      | Ended a.1 expired, Granted b.1 |

  Scenario: A drain refuses new reservations and waits for running ones
    Then a ledger with 1 slots returns these actions
      | at | event       | actions             |
      | 0  | reserve a.1 | Granted a.1         |
      | 0  | start a.1   | StartRun a.1        |
      | 0  | reserve b.1 | Queued b.1          |
      | 1  | drain       | Refused b.1 draining |
      | 1  | reserve c.1 | Refused c.1 draining |
      | 1  | is drained  | no                  |
      | 2  | finish a.1  | Ended a.1 finished  |
      | 2  | is drained  | yes                 |

  Scenario: An ended run occupies its slot until the engine has freed it
    Then a ledger with 1 slots returns these actions
      | at | event       | actions                           |
      | 0  | reserve a.1 | Granted a.1                       |
      | 0  | start a.1   | StartRun a.1                      |
      | 1  | cancel a.1  | Ended a.1 cancelled, CancelRun a.1 |
      | 1  | reserve b.1 | Queued b.1                        |
      | 2  | report      | nothing                           |
      | 3  | report a.1  | CancelRun a.1                     |
      | 4  | report      | Granted b.1                       |

  Scenario: A start in transit during an engine restart occupies its slot
    Then a ledger with 1 slots returns these actions
      | at | event       | actions                                              |
      | 0  | reserve a.1 | Granted a.1                                          |
      | 0  | start a.1   | StartRun a.1                                         |
      | 1  | restarted   | EngineRestarted, Ended a.1 engine_restarted, CancelRun a.1 |
      | 1  | reserve b.1 | Queued b.1                                           |
      | 4  | report      | Granted b.1                                          |

  Scenario: An engine restart fails the running requests and frees their memory
    Then a ledger with 1 slots returns these actions
      | at | event       | actions                                              |
      | 0  | reserve a.1 | Granted a.1                                          |
      | 0  | start a.1   | StartRun a.1                                         |
      | 1  | tokens a.1  | Delivered a.1                                        |
      | 3  | restarted   | EngineRestarted, Ended a.1 engine_restarted, CancelRun a.1 |
      | 3  | reserve b.1 | Granted b.1                                          |

  Scenario: A start in transit is not reported as a missing run
    Then a ledger with 1 slots returns these actions
      | at | event       | actions                              |
      | 0  | reserve a.1 | Granted a.1                          |
      | 0  | start a.1   | StartRun a.1                         |
      | 1  | report      | nothing                              |
      | 2  | report      | nothing                              |
      | 3  | report      | Ended a.1 run_missing, CancelRun a.1 |

  Scenario: A report that is older than the last one is ignored
    Then a ledger with 1 slots returns these actions
      | at | event           | actions     |
      | 5  | report          | nothing     |
      | 4  | report x        | nothing     |
      | 5  | reserve a.1     | Granted a.1 |

  Scenario: A run that finished after the report was requested is not unowned
    Then a ledger with 1 slots returns these actions
      | at | event       | actions            |
      | 0  | reserve a.1 | Granted a.1        |
      | 0  | start a.1   | StartRun a.1       |
      | 3  | finish a.1  | Ended a.1 finished |
      | 2  | report a.1  | nothing            |
      | 3  | reserve b.1 | Granted b.1        |

  Scenario: A start beyond a lowered limit is refused as not run
    Then a ledger with 2 slots returns these actions
      | at | event       | actions               |
      | 0  | reserve a.1 | Granted a.1           |
      | 0  | reserve b.1 | Granted b.1           |
      | 0  | start a.1   | StartRun a.1          |
      | 0  | cold        | nothing               |
      | 0  | start b.1   | Refused b.1 overloaded |

  Scenario: A request that must run alone is granted on an idle engine only
    Then a ledger with 3 slots returns these actions
      | at | event             | actions                         |
      | 0  | reserve a.1       | Granted a.1                     |
      | 0  | reserve b.1 alone | Queued b.1                      |
      | 0  | reserve c.1       | Queued c.1                      |
      | 1  | cancel a.1        | Ended a.1 cancelled, Granted b.1 |
      | 2  | start b.1         | StartRun b.1                    |
      | 3  | finish b.1        | Ended b.1 finished, Granted c.1 |

  Scenario: The blocks of a common prefix count once
    Then a ledger with 4 slots returns these actions
      | at | event                         | actions     |
      | 0  | reserve a.1 6 blocks 4 shared | Granted a.1 |
      | 0  | reserve b.1 6 blocks 4 shared | Granted b.1 |
      | 0  | reserve c.1 6 blocks 4 shared | Granted c.1 |
      | 0  | reserve d.1 1 blocks 0 shared | Queued d.1  |

  Scenario: Small requests do not starve a large one
    Then a ledger with 4 slots returns these actions
      | at | event                         | actions     |
      | 0  | reserve a.1 9 blocks 0 shared | Granted a.1 |
      | 0  | reserve b.1 5 blocks 0 shared | Queued b.1  |
      | 0  | reserve c.1 1 blocks 0 shared | Queued c.1  |

  Scenario: Blocks of a run that nobody owns are not given away
    Then a ledger with 4 slots returns these actions
      | at | event                         | actions                 |
      | 1  | report x                      | ForeignRuns             |
      | 1  | reserve a.1 6 blocks 0 shared | Queued a.1              |
      | 2  | report x                      | ForeignRuns             |
      | 3  | report x                      | CancelRun x, ForeignRuns |
      | 4  | report                        | Granted a.1             |

  Scenario: A run that nobody owns counts when a granted request starts
    Then a ledger with 2 slots returns these actions
      | at | event       | actions                |
      | 0  | reserve a.1 | Granted a.1            |
      | 1  | report x    | ForeignRuns            |
      | 1  | cold        | nothing                |
      | 1  | start a.1   | Refused a.1 overloaded |

  Scenario: A started agent grants nothing before the first engine report
    Then a new ledger with 2 slots returns these actions
      | at  | event       | actions                  |
      | 0   | reserve a.1 | Queued a.1               |
      | 0.5 | report x y  | ForeignRuns              |
      | 1.5 | report x y  | ForeignRuns              |
      | 2.5 | report x y  | CancelRun x, CancelRun y, ForeignRuns |
      | 2.9 | heartbeat   | nothing                  |
      | 3.5 | report      | Granted a.1              |

  Scenario: A superseded agent starts and cancels no more runs
    Then a ledger with 2 slots returns these actions
      | at | event       | actions             |
      | 0  | reserve a.1 | Granted a.1         |
      | 0  | superseded  | nothing             |
      | 0  | start a.1   | Refused a.1 draining   |
      | 1  | report x    | nothing             |
      | 9  | report x    | nothing             |
