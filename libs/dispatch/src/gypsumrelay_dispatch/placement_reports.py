"""Collection of active placements after a change of the coordinator."""

from __future__ import annotations

from typing import Final

import attrs

# Maximum seconds that a new coordinator waits for the reports of the other
# instances; a connection and a report take a fifth of that.
COLLECT_SECONDS: Final = 0.3


@attrs.define
class Handover:
    """Instances that have reported their active placements.

    Until all have reported, the load of the engines is underestimated.

    Attributes:
        told: Instances that have reported.
        awaited: Instances that were alive at the first report.
        until: Instant at which the wait for reports times out.
    """

    told: set[str] = attrs.field(factory=set)
    awaited: frozenset[str] = frozenset()
    until: float = float('-inf')

    def is_open(self, now: float) -> bool:
        """Return whether reports of active placements are still missing."""
        return now < self.until and not self.awaited <= self.told


def take_told(
    handover: Handover,
    entry: str,
    living: frozenset[str],
    now: float,
) -> None:
    """Record that an instance has reported its placements.

    Args:
        handover: The reports.
        entry: The instance.
        living: All instances that the coordinator knows to be alive.
        now: The present instant.
    """
    if not handover.told:
        handover.awaited = living
        handover.until = now + COLLECT_SECONDS
    handover.told.add(entry)


def drop_entry(handover: Handover, entry: str) -> None:
    """Remove an instance that has left or uses another coordinator."""
    handover.told.discard(entry)
    handover.awaited -= {entry}
