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
class Record:
    """Crashed upstreams of one content, by name and start time."""

    lost: set[tuple[str, int]]
    forget_at: float


@attrs.frozen
class Loss:
    """Connection that was lost while an upstream ran a content."""

    digest: bytes
    upstream: str
    at: float


@attrs.define
class Blame:
    """Confirmed and suspected crashes.

    Attributes:
        records: Confirmed crashes, by digest of the content.
        suspected: Lost connections whose upstream may still be alive.
    """

    records: dict[bytes, Record] = attrs.field(factory=dict)
    suspected: list[Loss] = attrs.field(factory=list)


def suspect(blame: Blame, digest: bytes, upstream: str, now: float) -> None:
    """Record a connection that was lost while an upstream ran a content."""
    blame.suspected = [
        loss for loss in blame.suspected if now - loss.at < CONFIRM_SECONDS
    ]
    blame.suspected.append(Loss(digest, upstream, now))


def confirm(
    blame: Blame,
    upstream: tuple[str, int],
    forget_at: float,
    now: float,
) -> None:
    """Attribute the crash of an upstream to the contents that it ran.

    A lost connection alone does not show a crash: connections are also reset
    for other reasons.
    """
    for loss in blame.suspected:
        recent = now - loss.at < CONFIRM_SECONDS
        if loss.upstream == upstream[0] and recent:
            note_loss(blame, loss.digest, upstream, forget_at)


def note_loss(
    blame: Blame,
    digest: bytes,
    upstream: tuple[str, int],
    forget_at: float,
) -> None:
    """Record the crash of an upstream that ran a content."""
    record = blame.records.pop(digest, None) or Record(set(), forget_at)
    record.lost.add(upstream)
    record.forget_at = forget_at
    blame.records[digest] = record
    if len(blame.records) > MAX_CONTENTS:
        blame.records.pop(next(iter(blame.records)))


def clear(blame: Blame, digest: bytes) -> None:
    """Clear a content that an upstream completed."""
    blame.records.pop(digest, None)


def losses(blame: Blame, digest: bytes, now: float) -> int:
    """Return the number of recent crashes attributed to a content."""
    record = blame.records.get(digest)
    if record is None or now >= record.forget_at:
        blame.records.pop(digest, None)
        return 0
    return len(record.lost)
