"""Upstreams that state in their answers that they are leaving.

An answer may state it before the list of upstreams shows it. The statement
holds until the upstream restarts under its name.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gypsumrelay_dispatch.rate_limits import UNLISTED_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_dispatch.models import Upstream


@attrs.define
class Departure:
    """The statement of one upstream.

    Attributes:
        started_ms: Start of the incarnation that is leaving, Unix
            milliseconds; 0 where unknown, which ends with no restart.
        expires_at: Instant at which the statement is forgotten; infinite while
            the upstream is listed.
    """

    started_ms: int
    expires_at: float = float('inf')


# Statements by name of the upstream.
Departures = dict[str, Departure]


def state_leaving(
    departures: Departures, upstream: str, started_ms: int
) -> bool:
    """Record that an incarnation of an upstream is leaving.

    Args:
        departures: The statements.
        upstream: Name of the upstream.
        started_ms: Start of the incarnation, Unix milliseconds; 0 where
            unknown.

    Returns:
        Whether the statement is new.
    """
    if is_leaving(departures, upstream, started_ms):
        return False
    departures[upstream] = Departure(started_ms)
    return True


def is_leaving(departures: Departures, upstream: str, started_ms: int) -> bool:
    """Return whether an incarnation of an upstream has stated to leave.

    Args:
        departures: The statements.
        upstream: Name of the upstream.
        started_ms: Start of the incarnation; 0 where unknown.
    """
    departure = departures.get(upstream)
    return departure is not None and not _is_restart(departure, started_ms)


def note_listed(
    departures: Departures, listed: Iterable[Upstream], now: float
) -> None:
    """Forget upstreams that restarted or have been unlisted for long."""
    started_ms = {upstream.name: upstream.started_ms for upstream in listed}
    for name, departure in list(departures.items()):
        has_restarted = _is_restart(departure, started_ms.get(name, 0))
        if has_restarted or now >= departure.expires_at:
            departures.pop(name)
        elif name in started_ms:
            departure.expires_at = float('inf')
        else:
            departure.expires_at = min(
                departure.expires_at, now + UNLISTED_SECONDS
            )


def _is_restart(departure: Departure, started_ms: int) -> bool:
    return 0 < departure.started_ms < started_ms
