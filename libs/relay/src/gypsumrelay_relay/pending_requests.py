"""Placement requests without an answer, and grants that are not used."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_dispatch import Ending, PlacementRequest
from gypsumrelay_errors import Failure
from logbook import Logger

from gypsumrelay_relay.answer_statements import must_not_use
from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.events import state as state_events
from gypsumrelay_relay.events import upstreams as upstream_events
from gypsumrelay_relay.placement import Placement

if TYPE_CHECKING:
    from gypsumrelay_relay.coordination.client import Coordination

log = Logger('coordination')

Answer = Placement | Failure


@attrs.define(eq=False)
class PendingRequest:
    """A placement request that has no answer yet.

    Attributes:
        request: The request.
        answers: Gets the answer.
        returned: Names of the upstreams whose grant was returned.
    """

    request: PlacementRequest
    answers: queue.SimpleQueue[Answer] = attrs.field(factory=queue.SimpleQueue)
    returned: set[str] = attrs.field(factory=set)


def return_unusable(
    coordination: Coordination, pending: PendingRequest, answer: Answer
) -> bool:
    """Return a grant that must not be used, and request another one.

    The coordinator may have granted it before it was told, or run an older
    version. An upstream that it grants once more is excluded. Needs the lock
    of `coordination`.

    Args:
        coordination: The connection to the coordinator.
        pending: The placement request.
        answer: The answer of the coordinator.

    Returns:
        Whether the answer is such a grant.
    """
    if not isinstance(answer, Placement):
        return False
    request = pending.request
    unusable = {
        name
        for name in answer.upstreams
        if must_not_use(coordination, name, answer.started_ms.get(name, 0))
    }
    if not _has_version(request, answer):
        unusable.update(answer.upstreams)
    if not unusable:
        return False
    pending.request = attrs.evolve(
        request, excluded=request.excluded | (unusable & pending.returned)
    )
    pending.returned |= unusable
    returned = upstream_events.PlacementReturned(
        request.request_id, request.attempt, ','.join(sorted(unusable))
    )
    state_events.report(log, returned)
    coordination.tell(messages.PlacementEnded(request.key, Ending.returned))
    coordination.tell(messages.PlacementRequested(pending.request))
    return True


def _has_version(request: PlacementRequest, answer: Placement) -> bool:
    """Return whether a grant is at the version that a stream is bound to.

    A coordinator of an older version does not bind requests, nor does it state
    the version.
    """
    if request.resumes and not answer.version:
        return False
    return request.version in {'', answer.version}
