Feature: A starting relay knows early, and surely, who coordinates

  Guards against callers who wait while a relay that could decide waits for
  heartbeats of relays that do not run, and against two coordinators that both
  grant full budgets while a fleet starts.

  Scenario: All relays were killed and the first one is up again
    Given a starting relay that knows the addresses of 4 others
    When it is registered and has read the list of upstreams
    Then it does not coordinate yet, and probes 4 addresses
    When all of them refuse the connection
    Then it coordinates

  Scenario Outline: It cannot decide yet
    Guards against a coordinator that is replaced as soon as another relay has
    read the list.
    Given a starting relay that knows the addresses of 2 others
    When it <state>
    Then it probes nothing and does not coordinate yet

    Examples:
      | state                                 |
      | is registered but has read no list    |
      | has read the list but is unregistered |

  Scenario: A running relay on a busy machine answers late
    Guards against a restarted relay that places requests at upstreams which the
    present coordinator knows to be leaving.
    Given a starting relay that knows the addresses of 2 others
    When it is registered and has read the list of upstreams
    And one of them accepts the connection and the other refuses it
    Then it does not coordinate 0.5 seconds after its start
    But it coordinates 0.7 seconds after its start

  Scenario: The machine is so busy that the list is read late
    Guards against a relay that elects itself unprobed after its first wait.
    Given a starting relay that knows the addresses of 2 others
    When 0.3 seconds of its start pass
    Then it probes 2 addresses

  Scenario: A host neither refuses nor accepts
    Guards against a start that waits longer than before for a lost host, and
    against a probe of it in each check.
    Given a starting relay that knows the addresses of 2 others
    When it is registered and has read the list of upstreams
    And no probe is answered
    Then it does not coordinate 0.1 seconds after its start
    But it coordinates 0.2 seconds after its start
    And it probes nothing more

  Scenario: A relay that does not coordinate answers first
    Guards against grants of a relay that is no coordinator, from full budgets.
    Given a starting relay that knows the addresses of 2 others
    When it hears a senior relay that names the coordinator "third"
    Then it follows nobody yet
    When it hears "third", which coordinates
    Then it follows "third"

  Scenario: A relay of an older version states no coordinator
    Given a starting relay that knows the addresses of 2 others
    When it hears a senior relay that names no coordinator
    Then it follows nobody yet
    When 0.2 seconds of its start pass
    Then it follows that relay

  Scenario: A new relay that does not coordinate is senior
    Guards against requests to a relay that is about to elect itself, whose own
    coordinator grants full budgets beside the present one.
    Given a starting relay that knows the addresses of 2 others
    When it hears a new senior relay that has no coordinator
    And 0.3 seconds of its start pass
    Then it follows nobody yet
    When 0.4 seconds of its start pass
    Then it follows that relay

  Scenario: More addresses than one probe takes
    Guards against a fleet whose old registrations switch the probe off.
    Given a starting relay that knows the addresses of 200 others
    When it is registered and has read the list of upstreams
    Then it probes 128 of them and then the other 72

  Scenario: An address arrives in a heartbeat of a known relay
    Guards against the address of the coordinator that counts as greeted though
    nothing was sent to it.
    Given heartbeats of a starting relay that knows "first"
    When "first" sends a heartbeat with the address 10.0.1.9
    Then one heartbeat is sent to 10.0.1.9

  Scenario: No descriptor is free for a probe
    Guards against the end of the thread that follows coordinators.
    Given no socket can be opened
    Then a probe finds nothing

  Scenario: A relay starts a little later than the first coordinator
    Guards against a second change of the coordinator at each start of a fleet,
    since the relay that registers first is not always the first to decide.
    Given a starting relay that knows the addresses of 2 others
    When it is registered and has read the list of upstreams
    And it hears "late", a junior relay that coordinates
    Then it follows "late"
    And its rank is behind that of "late" from then on

  Scenario: A registration is answered after another relay has taken over
    Given a starting relay that follows a coordinator with seniority 7
    When the store answers its registrations with 5 and 9
    Then its seniority is 9

  Scenario: The first coordinator of a fleet awaits no reports of new relays
    Guards against model requests that wait for reports of relays which have
    had no coordinator since their start.
    Given a starting relay that knows the addresses of 2 others
    When it hears a new relay, and one that has followed a coordinator
    Then a coordinator awaits the report of the second one only

  Scenario: A heartbeat that changes the choice is not left to the next check
    Then a new rank, a new leader and a shutdown change the choice
    And a new position does not change it

  Scenario: The kernel tells who runs
    Given a port with a listener that accepts nothing, and one without
    Then the probe finds that the first one runs and the second does not

  Scenario: A probe is no link
    Guards against warnings of rejected links at each start.
    Given a listener for links
    When its address is probed and then dialled
    Then it runs, has one link and logs no warning
