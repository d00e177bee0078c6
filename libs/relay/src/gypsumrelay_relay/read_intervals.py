"""Intervals at which a relay reads the store, by its rank."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_relay.membership import (
    CANDIDATE_COUNT,
    fleet_factor,
    is_among_first,
)

if TYPE_CHECKING:
    from gypsumrelay_settings import StoreSettings

    from gypsumrelay_relay.membership import Members

# Shortest interval in seconds between checks for operator records; with a retry
# and the way to the other relays less than the two seconds within which a
# configuration has to be in force.
CHECK_SECONDS: Final = 1.0
# Delay in seconds before the coordinator repeats a failed read.
RETRY_SECONDS: Final = 0.3
# Delay in seconds before any other relay repeats a failed read, and its limit
# in a large fleet.
IDLE_RETRY_SECONDS: Final = 1.0
LONGEST_RETRY_SECONDS: Final = 3.0
# Factor by which a relay that is no candidate reads the list of upstreams less
# often than a candidate.
NON_CANDIDATE_FACTOR: Final = 4
# Longest time in seconds that one read waits for changes; the store answers
# after 30 s at the latest.
LONGEST_WATCH_SECONDS: Final = 25.0


@attrs.frozen
class ReadIntervals:
    """Intervals at which a relay reads the store.

    Attributes:
        list_seconds: Interval between reads of the list of upstreams.
        watch_seconds: Longest wait of one read of the operator records.
        retry_seconds: Delay after a failed read.
    """

    list_seconds: float
    watch_seconds: float
    retry_seconds: float

    @property
    def check_seconds(self) -> float:
        """Return the interval between checks for operator records."""
        return max(CHECK_SECONDS, self.list_seconds)


def read_intervals(
    members: Members, settings: StoreSettings, now: float
) -> ReadIntervals:
    """Return the intervals for a relay of this rank.

    The coordinator decides from the list of upstreams, and the next candidates
    may replace it while the store is slow. All others read the list once they
    become candidates, and also get operator records from the coordinator, so
    that a large fleet reads no more often than a small one.
    """
    if is_among_first(members, now, 1):
        return ReadIntervals(
            settings.list_poll_seconds,
            settings.watch_seconds,
            RETRY_SECONDS,
        )
    factor = fleet_factor(members, now)
    is_candidate = is_among_first(members, now, CANDIDATE_COUNT)
    list_factor = 1 if is_candidate else NON_CANDIDATE_FACTOR * factor
    return ReadIntervals(
        settings.idle_poll_seconds * list_factor,
        min(LONGEST_WATCH_SECONDS, settings.watch_seconds * factor),
        min(LONGEST_RETRY_SECONDS, IDLE_RETRY_SECONDS * factor),
    )
