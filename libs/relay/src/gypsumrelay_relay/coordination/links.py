"""Links to the coordinator, and what is told on them periodically."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure
from gypsumrelay_wire import Heartbeat, Link, dial
from logbook import Logger

from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.membership import alive, mark_unreachable
from gypsumrelay_relay.state_reports import state_reports

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest

    from gypsumrelay_relay.coordination.client import Coordination

log = Logger('coordination')

# Time limit in seconds for each step of opening a link; a running relay answers
# at once.
DIAL_SECONDS: Final = 0.6


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
    """Report to this relay's coordinator that a relay's report is complete."""
    with coordination.lock:
        live = [member.name for member in alive(coordination.members, now)]
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
