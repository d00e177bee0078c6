Feature: Operators change and inspect a running system

  Guards against a change reported with a wrong outcome, a secret that is
  stored or printed twice, and a command that fails unless every process
  responds.

  Background:
    Given a log service, an instance list and operator settings

  Scenario Outline: The exit code of "<command>" is <code>
    Given the published configuration, the contract "kiosk" and the key "k1"
    When the operator runs "<command>"
    Then the exit code is <code>
    And the output contains "<text>"

    Examples:
      | command                                        | code | text                       |
      | version                                        | 0    | 0.1.0                      |
      | --help                                         | 0    | Exit codes                 |
      | drain --help                                   | 0    | Example                    |
      | no-such-command                                | 2    | no-such-command            |
      | check {configuration}                          | 0    | without faults             |
      | check {contract}                               | 0    | without faults             |
      | check {settings}                               | 0    | OperatorSettings           |
      | check {faulty}                                 | 2    | $.routes[0].method         |
      | check {missing}                                | 2    | a readable file            |
      | config publish {configuration}                 | 0    | accepted, version 2        |
      | config publish {configuration} --based-on 0    | 1    | version 1 came first       |
      | config publish {faulty}                        | 2    | $.shares_per_account       |
      | config publish {empty}                         | 2    | 1 contracts refer to it    |
      | config publish {empty} --force                 | 0    | accepted                   |
      | config show                                    | 0    | model-a                    |
      | config history                                 | 0    | configuration_published    |
      | config diff 0 1                                | 0    | model-a                    |
      | config diff 0 7                                | 2    | does not keep version 7    |
      | contract put {contract}                        | 0    | accepted, version 2        |
      | contract put {stranger}                        | 2    | $[0].models                |
      | contract list                                  | 0    | kiosk: 10 tokens/s         |
      | contract remove kiosk                          | 0    | accepted                   |
      | contract remove nobody                         | 1    | no such contract           |
      | key grant kiosk                                | 0    | shown only now             |
      | key grant nobody                               | 1    | no such contract           |
      | key grant kiosk --key-id k1                    | 1    | granted before             |
      | key withdraw k1                                | 0    | accepted                   |
      | key withdraw never                             | 0    | can no longer be granted   |
      | key list                                       | 0    | k1: kiosk, valid           |
      | drain zone lekki                               | 0    | accepted, version 1        |
      | drain zone lekki --undo                        | 0    | accepted, version 1        |
      | drain planet mars                              | 2    | zone, instance, upstream   |
      | timeline --format picture                      | 2    | text, json, html           |
      | timeline --logs /nowhere --request r1          | 2    | No such file               |

  Scenario Outline: With <fault>, "<command>" exits with <code>
    Given <fault>
    When the operator runs "<command>"
    Then the exit code is <code>
    And the output contains "<text>"

    Examples:
      | fault                 | command                        | code | text                 |
      | the log out of reach  | config publish {configuration} | 4    | platform_unavailable |
      | the log out of reach  | contract list                  | 4    | platform_unavailable |
      | the list out of reach | status                         | 4    | platform_unavailable |
      | the list out of reach | timeline                       | 4    | platform_unavailable |
      | appends without effect | config publish {configuration} | 3    | unknown             |
      | appends without effect | key grant kiosk               | 3    | key id:              |
      | refused appends       | config publish {configuration} | 4    | out of reach         |

  Scenario: The secret is printed once and only its digest is stored
    Given the published configuration, the contract "kiosk" and the key "k1"
    When the operator runs "key grant kiosk --json"
    Then the printed secret works as a key of "kiosk"
    And neither the log nor "key list" contains the secret

  Scenario: Status shows instances that lag behind or do not respond
    Given instances at offsets 9 and 4 and two faulty ones
    When the operator runs "status"
    Then the exit code is 0
    And the output contains "one entry lekki live: offset 9, current"
    And the output contains "two agent lekki live: offset 4, 5 behind"
    And the output contains "three entry lekki live: no status"
    And the output contains "four entry lekki live: no status"

  Scenario: The timeline merges the events of all instances
    Given instances at offsets 9 and 4 and two faulty ones
    When the operator runs "timeline --request r1"
    Then the output has the events "sent received" in order
    And the output contains "no events from three"
    When the operator runs "timeline --format html --output {output}"
    Then the output file is a page with 2 lanes

  Scenario: The programs start without importing the command parser
    Then "entry" and "agent" run their program with loaded settings
    And neither "version" nor the programs import cyclopts

  Scenario: The reference of settings and documents is up to date
    Then the reference pages match the doc comments of the classes
