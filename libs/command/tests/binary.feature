Feature: One file is the whole system

  Guards against test doubles in production, a binary that needs packages of
  the machine, and one that writes to disk or starts processes.

  Background:
    Given the built binary

  Scenario: It runs straight from the file
    When the binary runs "version" without the machine's packages
    Then it prints the version and exits with 0

  Scenario: The whole command line works from the file
    When the binary runs "check missing" without the machine's packages
    Then it exits with 2 and names the file

  Scenario: It holds what ships and nothing else
    Then the packages of the system and the locked dependencies are inside
    And no stand-in, demo, measurement, test or shared library is inside

  Scenario: It unpacks nothing and starts no other process
    Then "check missing" opens no file for writing and starts no process
