Feature: A cold engine gets no more load than it can handle

  Guards against full load on an engine that restarted or became cold
  without a report, and against a limit that changes with single outliers.

  Scenario: The limit grows by one per completion, only on a warm engine
    Then a new ramp to 4 slots has these limits
      | events                         | limit |
      | cold, complete x1, complete x1 | 1     |
      | warm, complete x1              | 1     |
      | warm                           | 1     |
      | complete x1                    | 2     |
      | complete x1                    | 3     |
      | complete x1, complete x1       | 4     |

  Scenario: A cold report resets the limit until two warm reports arrive
    Then a full ramp to 20 slots has these limits
      | events                                 | limit |
      | cold                                   | 1     |
      | complete x1, warm, complete x1         | 1     |
      | late warm, late warm, complete x1      | 1     |
      | warm, complete x1                      | 2     |

  Scenario: A restart of the engine resets the limit before its first report
    Then a full ramp to 20 slots has these limits
      | events                      | limit |
      | restart                     | 1     |
      | complete x1                 | 1     |

  Scenario: Completions of runs from before the reset do not raise the limit
    Then a full ramp to 20 slots has these limits
      | events                                   | limit |
      | cold, warm, warm, old x1, old x1, old x1 | 1     |

  Scenario: Single slow completions do not change the limit
    Then a full ramp to 20 slots has these limits
      | events                                               | limit |
      | complete x10, complete x10, complete x1, complete x10 | 20    |
      | complete x10, complete x1, complete x10, complete x10 | 20    |

  Scenario: Consecutive slow completions reset the limit
    Then a full ramp to 20 slots has these limits
      | events                                | limit |
      | complete x4, complete x4              | 20    |
      | complete x4                           | 1     |

  Scenario: Completions between the two thresholds do not change the limit
    Then a new ramp to 20 slots has these limits
      | events                                          | limit |
      | warm, warm, complete x1                         | 2     |
      | complete x2.6, complete x2.6, complete x2.6     | 2     |
      | complete x2.6, complete x2.6, complete x2.6     | 2     |

  Scenario: Outliers do not move the baseline
    Then 60 completions with every third 1000 times as slow move the baseline by less than 20 percent

  Scenario: A second agent at the upstream resets the limit
    Then a full ramp to 20 slots has these limits
      | events  | limit |
      | foreign | 1     |

  Scenario: Two agents together stay within the cold limit of one engine
    Then two agents of one cold engine together run one request at a time
