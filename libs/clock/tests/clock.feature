Feature: The clock includes the time for which a machine is suspended

  Guards against leases, ranks and lists that are still treated as valid after
  a suspension, because the clock stopped during it.

  Scenario: The clock is the one that runs during a suspension
    Then a reading lies between two readings of the boot-time clock

  Scenario: No module reads the clock that stops during a suspension
    Then no module of the libraries reads the standard library's clock
