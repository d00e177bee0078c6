"""Log event and gauges of the limits on concurrent work."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import attrs

from gypsumrelay_relay.events.state import StateChange, report

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_performance import LimitChange
    from logbook import Logger


@attrs.frozen
class ConcurrencyLimitChanged(StateChange):
    """The coordinator changed the limit on an upstream's concurrent work.

    Attributes:
        upstream: Name of the upstream.
        previous: The limit before.
        limit: The limit from now on.
        stated: Slots that the upstream states.
        slowdown: Time of its work relative to its own recent past and to the
            slowdown of its pool.
    """

    event: ClassVar[str] = 'concurrency_limit'
    template: ClassVar[str] = (
        'Limit of upstream {upstream} is {limit} of {stated} requests; before: '
        '{previous}.'
    )

    upstream: str
    previous: int
    limit: int
    stated: int
    slowdown: float


def report_limits(log: Logger, changes: Iterable[LimitChange]) -> None:
    """Log one line for each change of a limit."""
    for change in changes:
        event = ConcurrencyLimitChanged(
            change.upstream,
            change.before,
            change.after,
            change.stated,
            round(change.slowdown, 2),
        )
        report(log, event)
