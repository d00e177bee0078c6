"""Links to the coordinator, and what is told on them periodically."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from gypsumrelay_wire import Heartbeat, Link, dial
from logbook import Logger

from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.membership import alive, coordinator, mark_unreachable
from gypsumrelay_relay.startup.election import hosts_to_probe, may_follow
from gypsumrelay_relay.startup.probing import probe
from gypsumrelay_relay.state_reports import state_reports

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest

    from gypsumrelay_relay.coordination.client import Coordination
    from gypsumrelay_relay.membership import Member

log = Logger('coordination')

# Time limit in seconds for each step of opening a link; a running relay answers
# at once.
DIAL_SECONDS: Final = 0.6


def awaits_others(
    coordination: Coordination, chosen: Member, now: float
) -> bool:
    """Return whether a starting relay may not follow its choice yet.

    It is asked again as soon as a heartbeat may change the answer.
    """
    members = coordination.members
    election = members.election
    with coordination.lock:
        hosts = hosts_to_probe(members, chosen, now)
    found = probe(hosts, coordination.link_port) if hosts else {}
    running = frozenset(host for host, runs in found.items() if runs)
    now = monotonic()
    with coordination.lock:
        election.probed |= hosts
        election.running |= running
        election.absent |= frozenset(found) - running
        choice = coordinator(members, now)
        is_same = choice.name == chosen.name
        return not is_same or not may_follow(members, choice, now)


def open_link(
    coordination: Coordination,
    host: str,
    name: str,
) -> Link | None:
    """Return a link to a relay, or None if it is unreachable."""
    address = (host, coordination.link_port)
    link = dial(address, coordination.endpoint, DIAL_SECONDS)
    if isinstance(link, Failure):
        log.warning(
            'Cannot open a link to coordinator {}: {}.', name, link.sentence
        )
        with coordination.lock:
            mark_unreachable(coordination.members, name, monotonic())
        return None
    link.start()
    return link


def report_state(coordination: Coordination, now: float) -> None:
    """Report what this relay knows, and resend its pending requests.

    Requests that go on with a stream come first: their callers already have a
    part of the answer. Needs the lock of `coordination`.
    """
    for message in state_reports(coordination, now):
        coordination.tell(message)
    if coordination.link is None:
        complete_report(coordination, coordination.name, now)
    else:
        coordination.link.send(link_heartbeat(coordination, places_told=1))
    requests = [pending.request for pending in coordination.pending.values()]
    for request in sorted(requests, key=goes_on, reverse=True):
        coordination.tell(messages.PlacementRequested(request))


def goes_on(request: PlacementRequest) -> bool:
    """Return whether a request goes on with a stream that was interrupted."""
    return request.resumed or bool(request.resumes)


def complete_report(
    coordination: Coordination,
    entry: str,
    now: float,
) -> None:
    """Report to this relay's coordinator that a relay's report is complete.

    A relay that has had no coordinator since its start has no placements, and
    its report need not be awaited.
    """
    with coordination.lock:
        live = [
            member.name
            for member in alive(coordination.members, now)
            if not member.is_new
        ]
    completed = messages.ReportCompleted(
        entry, frozenset((*live, coordination.name))
    )
    coordination.actor.tell(completed)


def link_heartbeat(
    coordination: Coordination,
    places_told: int = 0,
) -> Heartbeat:
    """Return a heartbeat for a link.

    Args:
        coordination: This relay's connection to the coordinator.
        places_told: 1 if it ends the report of this relay's state.
    """
    position = max(0, coordination.operator_records.position)
    return Heartbeat(position, 0, 0, places_told)
