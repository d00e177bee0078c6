"""Which requests a relay still passes on while it shuts down."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_errors import Draining

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest
    from gypsumrelay_settings import ShutdownSettings

    from gypsumrelay_relay.coordination.client import Coordination

# Time in seconds before the end of the process by which the last answers have
# to be complete, so that they reach their callers.
ANSWER_SECONDS: Final = 0.3
# Maximum number of rejected contents that are remembered.
MAX_REJECTED: Final = 4096


@attrs.frozen
class Shutdown:
    """The instants of a graceful shutdown; infinite before it starts.

    Attributes:
        started_at: Instant at which it started.
        accepts_until: Instant until which the listener is open.
        answers_until: Instant by which all answers have to be complete.
        ends_at: Instant at which the process ends at the latest.
        rejected: Digests of the contents of rejected requests.
    """

    started_at: float = float('inf')
    accepts_until: float = float('inf')
    answers_until: float = float('inf')
    ends_at: float = float('inf')
    rejected: set[bytes] = attrs.field(factory=set)


def plan_shutdown(settings: ShutdownSettings, started_at: float) -> Shutdown:
    """Return the instants of a shutdown that starts at an instant."""
    ends_at = started_at + settings.total_seconds
    answers_until = ends_at - ANSWER_SECONDS
    accepts_until = min(started_at + settings.accept_seconds, answers_until)
    return Shutdown(started_at, accepts_until, answers_until, ends_at)


def may_pass_on(
    shutdown: Shutdown, arrived_at: float, deadline: float, now: float
) -> bool:
    """Return whether to pass a request on, for the first time or once more.

    A request whose deadline is after the last answers may outlast the process,
    and its caller would get no answer. One that arrived before the shutdown
    has waited here, so that it is given up only when the listener closes.

    Args:
        shutdown: The shutdown.
        arrived_at: Instant at which the request arrived.
        deadline: Instant of the request's deadline.
        now: The present instant.
    """
    if deadline <= shutdown.answers_until:
        return True
    return arrived_at < shutdown.started_at and now < shutdown.accepts_until


def reject_draining(
    shutdown: Shutdown, request: PlacementRequest, arrived_at: float, now: float
) -> Draining | None:
    """Return the failure of a request that is not passed on, None otherwise.

    Other relays can serve it at once. If it comes back while the listener is
    open, its caller reaches no other relay, and this one passes it on.

    Args:
        shutdown: The shutdown.
        request: The request.
        arrived_at: Instant at which it arrived.
        now: The present instant.
    """
    if may_pass_on(shutdown, arrived_at, request.deadline, now):
        return None
    rejected = shutdown.rejected
    if request.digest in rejected and now < shutdown.accepts_until:
        return None
    if len(rejected) < MAX_REJECTED:
        rejected.add(request.digest)
    return Draining('this relay is shutting down', retry_at=now)


def reject_waiting(
    coordination: Coordination, shutdown: Shutdown, now: float
) -> None:
    """Reject the requests that wait for a placement and may not be passed on.

    All that wait arrived before the shutdown, or have a deadline within it.
    """
    with coordination.lock:
        waiting = list(coordination.pending.values())
    for pending in waiting:
        rejected = reject_draining(
            shutdown, pending.request, float('-inf'), now
        )
        if rejected is not None:
            pending.answers.put(rejected)
