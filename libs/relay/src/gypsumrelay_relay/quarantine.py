"""Contents that were rejected because upstreams crashed while running them."""

from __future__ import annotations

from typing import Final

import attrs

# Bounds the memory; the oldest content is evicted first.
MAX_CONTENTS: Final = 256


@attrs.define
class Quarantine:
    """Rejected contents.

    Attributes:
        since: Instant of the first rejection, by digest of the content.
    """

    since: dict[bytes, float] = attrs.field(factory=dict)


def record_rejection(
    quarantine: Quarantine, digest: bytes, seconds: float, now: float
) -> None:
    """Record the rejection of a content.

    Args:
        quarantine: The rejected contents.
        digest: Digest of the content.
        seconds: Time for which a content is rejected.
        now: The present instant.
    """
    drop_expired(quarantine, seconds, now)
    quarantine.since.setdefault(digest, now)
    if len(quarantine.since) > MAX_CONTENTS:
        quarantine.since.pop(next(iter(quarantine.since)))


def drop_expired(quarantine: Quarantine, seconds: float, now: float) -> None:
    """Drop the contents whose time is over."""
    for digest, since in list(quarantine.since.items()):
        if now >= since + seconds:
            quarantine.since.pop(digest)
