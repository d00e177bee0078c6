"""Collection of active placements after a change of the coordinator."""

from __future__ import annotations

from typing import Final

import attrs

# Maximum seconds that a new coordinator waits for the reports of the other
# instances; a connection and a report take a fifth of that.
REPORT_TIMEOUT_SECONDS: Final = 0.3


@attrs.define
class PlacementReports:
    """Instances that have reported their active placements.

    Until all have reported, the load of the engines is underestimated.

    Attributes:
        reported: Instances that have reported.
        awaited: Instances that were alive at the first report.
        expires_at: Instant at which the wait for reports times out.
    """

    reported: set[str] = attrs.field(factory=set)
    awaited: frozenset[str] = frozenset()
    expires_at: float = float('-inf')

    def is_incomplete(self, now: float) -> bool:
        """Return whether reports of active placements are still missing."""
        return now < self.expires_at and not self.awaited <= self.reported


def record_report(
    reports: PlacementReports,
    entry: str,
    live_entries: frozenset[str],
    now: float,
) -> None:
    """Record that an instance has reported its placements.

    Args:
        reports: The reports.
        entry: The instance.
        live_entries: All instances that the coordinator knows to be alive.
        now: The present instant.
    """
    if not reports.reported:
        reports.awaited = live_entries
        reports.expires_at = now + REPORT_TIMEOUT_SECONDS
    reports.reported.add(entry)


def remove_entry(reports: PlacementReports, entry: str) -> None:
    """Remove an instance that has left or uses another coordinator."""
    reports.reported.discard(entry)
    reports.awaited -= {entry}
