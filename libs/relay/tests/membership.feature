Feature: Relays choose the same coordinator from their heartbeats

  Guards against two coordinators that both grant the same capacity, and
  against a coordinator that decides from an old list of upstreams.

  Scenario: All members choose the one that registered first
    Given members with seniorities 3, 1 and 2
    Then all of them choose the one with seniority 1

  Scenario: A dead coordinator is replaced within a second
    Given members with seniorities 3, 1 and 2
    When the one with seniority 1 stops sending heartbeats
    Then all others choose the one with seniority 2 within 1 seconds

  Scenario: A restarted member ranks last
    Given members with seniorities 3, 1 and 2
    When the one with seniority 1 restarts and registers anew with 9
    Then all of them choose the one with seniority 2

  Scenario: A coordinator that cannot reach the store is replaced
    Given members with seniorities 3, 1 and 2
    When the list of the one with seniority 1 is stale
    Then all of them choose the one with seniority 2
    When the lists of all are stale
    Then all of them choose the one with seniority 1

  Scenario: A coordinator that was cut off does not take over again
    Guards against a second change of the coordinator after each failure of
    the store, in which requests lose their positions in the queue.
    Given members with seniorities 3, 1 and 2
    When the list of the one with seniority 1 is stale
    And the list of the one with seniority 1 is fresh again
    Then all of them choose the one with seniority 2
    And the one with seniority 3 does not have to give up its rank

  Scenario: A relay gives up its rank after its process was suspended
    Guards against a coordinator that takes over again with its first
    heartbeat after a suspension, and then decides from outdated state.
    Given a relay with the first rank whose process was suspended
    When it detects the suspension
    Then the first heartbeat that it sends has no seniority

  Scenario: A relay gives up its rank once it can read the list again
    Given a relay with the first rank whose list was stale
    When it can read the list again while another one coordinates
    Then none of its heartbeats has a fresh list and the first rank

  Scenario: The list counts as fresh again only after it was read
    Given a relay whose next read of the list is due in 8 seconds
    When its process was suspended and the store is unavailable
    Then its list counts as stale within 0.6 seconds
    And placements may be granted from it again, since none is newer

  Scenario: A relay gets a new rank although the store rejects the first write
    Guards against relays that rank last for ever after one failed write.
    Given a relay that gave up its rank
    When the store rejects its first registration
    Then it has a rank within 2 seconds

  Scenario: A member that is shutting down is not chosen
    Given members with seniorities 3, 1 and 2
    When the one with seniority 1 is shutting down
    Then all of them choose the one with seniority 2

  Scenario: A small member coordinates only if no larger one is alive
    Given members with seniorities 3, 1 and 2
    When the one with seniority 1 is small
    Then all of them choose the one with seniority 2

  Scenario: A member that receives no heartbeats coordinates itself
    Given members with seniorities 3, 1 and 2
    When the one with seniority 3 is cut off
    Then it chooses itself

  Scenario: The list counts as stale in time for upstreams that are leaving
    Given a list that is read every 0.4 seconds
    When the store stops answering
    Then the member is stale within 0.9 seconds of the last read
    And it is fresh again 3 seconds after the last failure

  Scenario: Relays of a large fleet agree while heartbeats get lost
    Guards against intervals between heartbeats that exceed the time-out of
    members, so that relays use different coordinators.
    Given a fleet of 100 relays of which 1 in 100 heartbeats get lost
    When 10 seconds pass
    Then all living relays agree for 10 seconds
    When the first 3 in rank and a third of the others die
    Then all living relays agree within 3 seconds

  Scenario: A relay gets no more heartbeats in a large fleet than in a small one
    Guards against a number of heartbeats per relay that grows with the fleet.
    Given a fleet of 12 relays of which 1 in 100 heartbeats get lost
    And a fleet of 240 relays beside it
    Then in 10 seconds a relay of the larger one gets at most 1.4 times as many

  Scenario: A large fleet reads the store no more often than a small one
    Guards against a number of calls to the store that grows with the fleet.
    Given a fleet of 12 relays of which 1 in 100 heartbeats get lost
    And a fleet of 72 relays beside it
    Then the larger one reads the store at most 1.3 times as often
    And while the store is unavailable, the larger one retries 60 times a second
    Given a fleet of 240 relays beside it
    Then the larger one reads the store at most 0.1 times a second for each

  Scenario: A relay that becomes a candidate reads the list of upstreams at once
    Guards against a new coordinator that decides from a list which it read
    rarely before, or that does not detect that it cannot read the list.
    Given a relay whose next read of the list is due in 8 seconds
    When it becomes a candidate for coordinator
    Then it reads the list within 0.5 seconds
    When it becomes a candidate again while the store is unavailable
    Then its list counts as stale within 0.6 seconds

  Scenario: A placement that an earlier coordinator grants is not used
    Guards against two coordinators that both grant the capacity of one
    upstream while relays switch from one to the other.
    Given a relay that has switched from one coordinator to another
    When the earlier one grants a placement
    Then the relay still waits for its placement
    When the present one grants a placement
    Then the relay has its placement

  Scenario: A relay reports its placements before it requests more
    Guards against a new coordinator that grants placements before it knows
    which ones are in use.
    Given a relay that has a placement and waits for another
    When it switches to a coordinator on another relay
    Then it reports its placement, then the end of its report, and then requests

  Scenario: A relay without a coordinator requests no placement
    Guards against grants beyond a contract: at a start of the whole fleet each
    relay's own coordinator would grant the full contract.
    Given a relay that waits for a placement and has no coordinator yet
    Then its own coordinator gets no request
    When it switches to a coordinator on another relay
    Then the new coordinator gets the request

  Scenario: Streams that go on are requested before new ones
    Guards against interrupted streams that find the capacity taken by new ones
    once a coordinator is chosen.
    Given a relay that waits for a placement and has no coordinator yet
    And a stream that goes on waits there, too
    When it switches to a coordinator on another relay
    Then the stream that goes on is requested first

  Scenario: A relay opens a silent link to a sound coordinator again
    Guards against relays that choose another coordinator because their link
    broke, while the coordinator itself is sound.
    Given a relay that has a placement and waits for another
    And its link to a coordinator that sends heartbeats
    When the link breaks
    Then it opens a new link to the same coordinator

  Scenario: A relay turns from a coordinator that is not heard any more
    Guards against a second attempt to reach a dead coordinator.
    Given a relay that has a placement and waits for another
    And its link to a coordinator that sends heartbeats
    When the link breaks 0.5 seconds after the last heartbeat
    Then it coordinates itself

  Scenario: A restarted coordinator counts retries that it granted before
    Guards against a second full retry budget from a coordinator that restarts
    under its name and coordinates again.
    Given a relay that got 5 retries from an earlier coordinator
    When that coordinator restarts and coordinates again
    Then it is told of 5 retries

  Scenario: A new coordinator learns once what earlier ones granted
    Guards against limits of accounts and cold upstreams that start anew with
    each coordinator, and against use that is charged twice.
    Given a relay that was granted 3 placements of 200 tokens by one coordinator
    When it switches to a second coordinator, to a third and back to the second
    Then the second and the third learned of 3 sends and 600 tokens once each
    And a restarted second one learns of them again

  Scenario: A new coordinator learns which contents crash upstreams
    Guards against three more crashes after each change of the coordinator.
    Given a relay that has a placement and waits for another
    And its content "poison" was rejected for the crashes that it caused
    When it switches to a coordinator on another relay
    Then it reports the content "poison" before it requests

  Scenario: A report to a new coordinator causes no pass over its queue
    Guards against a new coordinator of a large fleet that spends its processor
    time on the reports of all relays.
    When a coordinator gets reports of sends, charges, retries and limits
    Then it made no pass over its queue

  Scenario: A new coordinator learns the rate limits before any request
    Guards against a full load on an upstream that stated a limit, because the
    coordinator that knew it is gone.
    Given a relay that has a placement and waits for another
    And it got a grant that names a limit of 2.5 for its upstream
    When it switches to a coordinator on another relay
    Then it states this limit first

  Scenario: A coordinator that missed new records requests them from a relay
    Guards against an old configuration after the answer to the coordinator's
    read of the store was lost.
    Given a coordinator that is linked to a relay with newer records
    When it checks for newer records
    Then it requests them from that relay

  Scenario: A new coordinator counts retries that others granted
    Guards against a second full retry budget after a change of the
    coordinator.
    Given a relay that got 5 retries from an earlier coordinator
    And it got 3 retries before the window
    When it becomes the coordinator and was itself granted 2 retries
    Then the new coordinator counts 5 retries
    When it chooses itself once more
    Then the new coordinator counts 5 retries

  Scenario: Addresses without an answer are probed, and then dropped
    Given members with seniorities 3, 1 and 2
    When the one with seniority 1 stops sending heartbeats
    Then it is probed every 2 seconds for 120 seconds

  Scenario: Heartbeats are decoded and malformed datagrams are rejected
    Then a heartbeat is decoded to what was encoded
    And a heartbeat of the previous version is decoded with the usual time-out
    And 2000 random datagrams are rejected or decoded, without an exception

  Scenario: Heartbeats continue while the coordinator completes no handshake
    Given a member whose coordinator accepts connections and sends nothing
    When it follows the coordinator
    Then it continues to send heartbeats
    And it becomes the coordinator within 2 seconds

  Scenario: A new coordinator learns of each crash before any request
    Guards against crashes below the bound, and crashes that only the relay and
    a dead coordinator saw, which start anew with each coordinator.
    Given a relay that has a placement and waits for another
    And its coordinator reported the crash of "up-1" with the part "broken"
    And it lost a stream with the part "broken" at the crash of "up-2"
    And it completed a stream with the part "shared" that ran at the crash of "up-1"
    When it switches to a coordinator on another relay
    Then it reports the crashes of "up-1" and "up-2" before it requests
    And it reports that the part "shared" was completed

  Scenario: A relay that joins later learns of earlier crashes
    Guards against crashes that are forgotten once all relays were replaced.
    Given a coordinator that knows of the crash of "up-1"
    When a relay completes its report
    Then the crash of "up-1" is reported to that relay alone
    And the next tick reports it to all relays once

  Scenario: Reports of crashes keep their contents
    Then 100 random crashes are equal after their way over a link

  Scenario: A relay knows whether others may read a newer list of upstreams
    Guards against versions of upstreams that a relay has missed, and against
    rejected streams while nobody can read the list.
    Given members with seniorities 1, 2 and 3
    When the list of the one with seniority 1 is stale
    Then the one with seniority 1 takes it that others may read the list
    When the lists of all are stale
    Then the one with seniority 1 takes it that no other reads the list

  Scenario: A relay that is cut off takes it that others read on
    Given members with seniorities 1, 2 and 3
    When the one with seniority 1 is cut off
    Then the one with seniority 1 takes it that others may read the list
    And 121 seconds later it takes it that no other reads the list
