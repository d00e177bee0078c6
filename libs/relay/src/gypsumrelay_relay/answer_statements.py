"""What upstreams state in their answers about the requests that they want."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import (
    Pause,
    drop_ended,
    is_leaving,
    is_paused,
    start_pause,
    state_leaving,
)
from gypsumrelay_wire import UpstreamLeaving
from logbook import Logger

from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.events import state as state_events
from gypsumrelay_relay.events import upstreams as upstream_events
from gypsumrelay_relay.placement import start_to_wire

if TYPE_CHECKING:
    from gypsumrelay_wire import Link

    from gypsumrelay_relay.coordination.client import Coordination

log = Logger('upstreams')


def report_leaving(
    coordination: Coordination, upstream: str, key: tuple[str, int]
) -> None:
    """Report that the answer to an attempt states that its upstream leaves.

    Args:
        coordination: The connection to the coordinator.
        upstream: Name of the upstream that answered.
        key: Request id and number of the attempt.
    """
    with coordination.lock:
        started_ms = start_of(coordination, upstream, key)
        if not state_leaving(coordination.departures, upstream, started_ms):
            return
        coordination.tell(messages.LeavingReported(upstream, started_ms))
        followers = _followers(coordination)
    _send_leaving(followers, upstream, started_ms)
    statement = upstream_events.UpstreamLeaving(upstream, started_ms)
    state_events.report(log, statement)


def learn_leaving(
    coordination: Coordination, statement: UpstreamLeaving, sender: Link
) -> None:
    """Learn from another relay that an upstream states that it is leaving.

    The coordinator passes it on to all relays. A statement that only the
    coordinator and the relay that got it know would be unknown to a new
    coordinator until that relay has reported, while it already grants plain
    requests.

    Args:
        coordination: The connection to the coordinator.
        statement: The statement.
        sender: Link of the relay that sends it.
    """
    upstream, started_ms = statement.upstream, max(0, statement.started_ms)
    reported = messages.LeavingReported(upstream, started_ms)
    with coordination.lock:
        is_new = state_leaving(coordination.departures, upstream, started_ms)
        coordination.actor.tell(reported)
        followers = _followers(coordination) if is_new else []
    others = [link for link in followers if link is not sender]
    _send_leaving(others, upstream, started_ms)


def send_departures(coordination: Coordination, links: list[Link]) -> None:
    """Tell relays that follow this coordinator which upstreams leave."""
    with coordination.lock:
        if coordination.link is not None:
            return
        departures = list(coordination.departures.items())
    for upstream, departure in departures:
        _send_leaving(links, upstream, departure.started_ms)


def _followers(coordination: Coordination) -> list[Link]:
    """Return the links of the other relays if this one coordinates."""
    if coordination.link is not None:
        return []
    return list(coordination.incoming.values())


def _send_leaving(links: list[Link], upstream: str, started_ms: int) -> None:
    """Send a statement; not with the lock held, since a send may block."""
    statement = UpstreamLeaving(upstream, start_to_wire(started_ms))
    for link in links:
        link.send(statement)


def report_pause(
    coordination: Coordination,
    upstream: str,
    seconds: float,
    key: tuple[str, int],
) -> None:
    """Report that the answer to an attempt asks this relay for a pause.

    Args:
        coordination: The connection to the coordinator.
        upstream: Name of the upstream that answered.
        seconds: Length of the pause in seconds.
        key: Request id and number of the attempt.
    """
    now = monotonic()
    until = now + seconds
    with coordination.lock:
        pauses = coordination.pauses
        drop_ended(pauses, now)
        started_ms = start_of(coordination, upstream, key)
        own = coordination.name
        was_paused = is_paused(pauses, own, upstream, started_ms, now)
        if not start_pause(pauses, own, upstream, Pause(until, started_ms)):
            return
        coordination.tell(
            messages.PauseReported(own, upstream, started_ms, until)
        )
    if not was_paused:
        paused = upstream_events.UpstreamPaused(upstream, seconds)
        state_events.report(log, paused)


def must_not_use(
    coordination: Coordination, upstream: str, started_ms: int
) -> bool:
    """Return whether an upstream wants no request of this relay now.

    Args:
        coordination: The connection to the coordinator.
        upstream: Name of the upstream.
        started_ms: Start of the upstream, Unix milliseconds; 0 where unknown.
    """
    own = coordination.name
    with coordination.lock:
        return is_leaving(
            coordination.departures, upstream, started_ms
        ) or is_paused(
            coordination.pauses, own, upstream, started_ms, monotonic()
        )


def start_of(
    coordination: Coordination, upstream: str, key: tuple[str, int]
) -> int:
    """Return the start time of an upstream of an attempt; 0 if unknown."""
    with coordination.lock:
        placement = coordination.active.get(key)
    return placement.started_ms.get(upstream, 0) if placement else 0
