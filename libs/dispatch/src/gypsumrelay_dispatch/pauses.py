"""Pauses that upstreams ask instances for when they turn requests away.

A pause binds the instance that was asked. Afterwards its requests come back one
after the other, since the upstream may still be short of capacity.
"""

from __future__ import annotations

from typing import Final

import attrs

# Seconds after a pause in which requests are spaced.
RAMP_SECONDS: Final = 1.0
# Seconds between two requests within that time.
RAMP_INTERVAL_SECONDS: Final = 0.1


@attrs.define
class Pause:
    """A pause of one instance at one upstream.

    Attributes:
        until: Instant at which the pause ends.
        started_ms: Start of the incarnation that asked for it, Unix
            milliseconds; 0 where unknown.
        next_at: Instant from which the next request may be sent.
    """

    until: float
    started_ms: int
    next_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Admit the first request at the end of the pause."""
        self.next_at = self.until


# Pauses by name of the instance and name of the upstream.
Pauses = dict[str, dict[str, Pause]]


def start_pause(
    pauses: Pauses, entry: str, upstream: str, pause: Pause
) -> bool:
    """Start or extend a pause.

    Args:
        pauses: The pauses.
        entry: Name of the instance that was asked.
        upstream: Name of the upstream that asked.
        pause: The pause.

    Returns:
        Whether it extends the pause that was known.
    """
    known = pauses.setdefault(entry, {}).get(upstream)
    if known is not None and not is_restart(known, pause.started_ms):
        if pause.until <= known.until:
            return False
    pauses[entry][upstream] = pause
    return True


def is_paused(
    pauses: Pauses, entry: str, upstream: str, started_ms: int, now: float
) -> bool:
    """Return whether an instance may send nothing to an upstream.

    Args:
        pauses: The pauses.
        entry: Name of the instance.
        upstream: Name of the upstream.
        started_ms: Start of the upstream; 0 where unknown.
        now: The present instant.
    """
    pause = pauses.get(entry, {}).get(upstream)
    if pause is None or is_restart(pause, started_ms):
        return False
    return now < pause.until


def admitted_at(
    pauses: Pauses, entry: str, upstream: str, started_ms: int
) -> float:
    """Return the instant from which an upstream admits the next request.

    Args:
        pauses: The pauses.
        entry: Name of the instance that sends the request.
        upstream: Name of the upstream.
        started_ms: Start of the upstream; 0 where unknown.
    """
    pause = pauses.get(entry, {}).get(upstream)
    if pause is None or is_restart(pause, started_ms):
        return float('-inf')
    return pause.next_at


def count_request(
    pauses: Pauses, entry: str, upstream: str, now: float
) -> None:
    """Count a request that an instance sends to an upstream."""
    pause = pauses.get(entry, {}).get(upstream)
    if pause is not None:
        pause.next_at = max(pause.next_at, now + RAMP_INTERVAL_SECONDS)


def drop_ended(pauses: Pauses, now: float) -> None:
    """Drop the pauses after which requests are no longer spaced."""
    for entry, paused in list(pauses.items()):
        for name, pause in list(paused.items()):
            if now >= pause.until + RAMP_SECONDS:
                paused.pop(name)
        if not paused:
            pauses.pop(entry)


def is_restart(pause: Pause, started_ms: int) -> bool:
    """Return whether an upstream restarted since it asked for a pause."""
    return 0 < pause.started_ms < started_ms
