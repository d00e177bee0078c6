"""Attribution of upstream crashes to request contents."""

from __future__ import annotations

from typing import Final

import attrs

# Bounds the memory; the least recently updated content is evicted first.
MAX_CONTENTS: Final = 4096
# Seconds within which a crash is confirmed: a crashed upstream leaves the
# list after three missed heartbeats.
CONFIRM_SECONDS: Final = 6.0


@attrs.define
class CrashRecord:
    """Crashes of one content.

    Attributes:
        crashed_upstreams: Crashed upstreams, by name and start time.
        expires_at: Instant at which the record expires.
        restored_count: Crashes that an earlier coordinator attributed.
    """

    crashed_upstreams: set[tuple[str, int]]
    expires_at: float
    restored_count: int = 0


@attrs.frozen
class SuspectedCrash:
    """Connection that was lost while an upstream ran a content."""

    digest: bytes
    upstream: str
    lost_at: float


@attrs.define
class CrashHistory:
    """Confirmed and suspected crashes.

    Attributes:
        records: Confirmed crashes, by digest of the content.
        suspected: Lost connections whose upstream may still be alive.
    """

    records: dict[bytes, CrashRecord] = attrs.field(factory=dict)
    suspected: list[SuspectedCrash] = attrs.field(factory=list)


def suspect(
    crashes: CrashHistory, digest: bytes, upstream: str, now: float
) -> None:
    """Record a connection that was lost while an upstream ran a content."""
    crashes.suspected = [
        suspected
        for suspected in crashes.suspected
        if now - suspected.lost_at < CONFIRM_SECONDS
    ]
    crashes.suspected.append(SuspectedCrash(digest, upstream, now))


def confirm_crash(
    crashes: CrashHistory,
    upstream: tuple[str, int],
    expires_at: float,
    now: float,
) -> None:
    """Attribute the crash of an upstream to the contents that it ran.

    A lost connection alone does not show a crash: connections are also reset
    for other reasons.
    """
    for suspected in crashes.suspected:
        recent = now - suspected.lost_at < CONFIRM_SECONDS
        if suspected.upstream == upstream[0] and recent:
            record_crash(crashes, suspected.digest, upstream, expires_at)


def record_crash(
    crashes: CrashHistory,
    digest: bytes,
    upstream: tuple[str, int],
    expires_at: float,
) -> None:
    """Record the crash of an upstream that ran a content."""
    record = crashes.records.pop(digest, None) or CrashRecord(set(), expires_at)
    record.crashed_upstreams.add(upstream)
    record.expires_at = expires_at
    _keep(crashes, digest, record)


def _keep(crashes: CrashHistory, digest: bytes, record: CrashRecord) -> None:
    crashes.records[digest] = record
    if len(crashes.records) > MAX_CONTENTS:
        crashes.records.pop(next(iter(crashes.records)))


def restore_count(
    crashes: CrashHistory, digest: bytes, count: int, expires_at: float
) -> None:
    """Restore the crashes that an earlier coordinator attributed."""
    record = crashes.records.pop(digest, None) or CrashRecord(set(), expires_at)
    record.restored_count = max(record.restored_count, count)
    record.expires_at = max(record.expires_at, expires_at)
    _keep(crashes, digest, record)


def clear(crashes: CrashHistory, digest: bytes) -> None:
    """Clear a content that an upstream completed."""
    crashes.records.pop(digest, None)


def crash_count(crashes: CrashHistory, digest: bytes, now: float) -> int:
    """Return the number of recent crashes attributed to a content."""
    record = crashes.records.get(digest)
    if record is None or now >= record.expires_at:
        crashes.records.pop(digest, None)
        return 0
    return max(len(record.crashed_upstreams), record.restored_count)
