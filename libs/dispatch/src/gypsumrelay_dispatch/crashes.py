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
    """Connection that was lost while an upstream ran a content.

    Attributes:
        digest: Digest of the content.
        parts: Digests of the prompt's shared parts.
        began: Whether the upstream had sent an event of the answer.
        upstream: Name of the upstream.
        lost_at: Instant of the loss.
    """

    digest: bytes
    parts: tuple[bytes, ...]
    began: bool
    upstream: str
    lost_at: float


@attrs.frozen
class ConfirmedCrash:
    """A crash of an upstream and the contents that it ran.

    Attributes:
        upstream: Name of the upstream.
        lost: Connections that were lost.
        counts: Crashes attributed to each content, including this one.
    """

    upstream: str
    lost: tuple[SuspectedCrash, ...]
    counts: dict[bytes, int]


@attrs.define
class CrashHistory:
    """Confirmed and suspected crashes.

    Attributes:
        records: Confirmed crashes, by digest of the content.
        suspected: Lost connections whose upstream may still be alive.
        unreported: Confirmed crashes that were not logged yet.
    """

    records: dict[bytes, CrashRecord] = attrs.field(factory=dict)
    suspected: list[SuspectedCrash] = attrs.field(factory=list)
    unreported: list[ConfirmedCrash] = attrs.field(factory=list)


def suspect(crashes: CrashHistory, lost: SuspectedCrash, now: float) -> None:
    """Record a connection that was lost while an upstream ran a content."""
    crashes.suspected = [
        suspected
        for suspected in crashes.suspected
        if now - suspected.lost_at < CONFIRM_SECONDS
    ]
    crashes.suspected.append(lost)


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
    lost = tuple(
        suspected
        for suspected in crashes.suspected
        if suspected.upstream == upstream[0]
        and now - suspected.lost_at < CONFIRM_SECONDS
    )
    news = [
        suspected
        for suspected in lost
        if record_crash(crashes, suspected.digest, upstream, expires_at)
    ]
    if news:
        counts = {
            one.digest: crash_count(crashes, one.digest, now) for one in lost
        }
        crashes.unreported.append(ConfirmedCrash(upstream[0], lost, counts))


def take_unreported(crashes: CrashHistory) -> list[ConfirmedCrash]:
    """Return the confirmed crashes that were not logged yet, once each."""
    unreported = crashes.unreported
    crashes.unreported = []
    return unreported


def record_crash(
    crashes: CrashHistory,
    digest: bytes,
    upstream: tuple[str, int],
    expires_at: float,
) -> bool:
    """Record the crash of an upstream that ran a content.

    Returns:
        Whether the crash was not known for this content.
    """
    record = crashes.records.pop(digest, None) or CrashRecord(set(), expires_at)
    is_new = upstream not in record.crashed_upstreams
    record.crashed_upstreams.add(upstream)
    record.expires_at = expires_at
    _keep(crashes, digest, record)
    return is_new


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
