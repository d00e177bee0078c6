Feature: The binary is a single self-contained file

  Guards against test doubles in production, and against a binary that
  requires installed packages, writes to disk or starts processes.

  Background:
    Given the built binary

  Scenario: The binary runs without installation
    When the binary runs "version" without installed packages
    Then it prints the version and exits with 0

  Scenario: All commands work from the binary
    When the binary runs "check missing" without installed packages
    Then it exits with 2 and names the file

  Scenario: The binary contains only shipped packages and dependencies
    Then it contains the packages of the system and the locked dependencies
    And it contains no simulator, demo, benchmark, test or shared library

  Scenario: The binary unpacks no files and starts no other process
    Then "check missing" opens no file for writing and starts no process
