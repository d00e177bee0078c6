"""Request contents that take down the upstreams that run them."""

from __future__ import annotations

from typing import Final

import attrs

# Bounds the memory; the oldest contents are forgotten first.
MAX_CONTENTS: Final = 4096
# Seconds within which an upstream that a content took down is seen to be
# down: its entry lapses after three heartbeats.
CONFIRM_SECONDS: Final = 6.0


@attrs.define
class Record:
    """Upstreams that one content has lost, by name and start."""

    lost: set[tuple[str, int]]
    forget_at: float


@attrs.frozen
class Loss:
    """A content that an upstream ran when it broke off."""

    digest: bytes
    upstream: str
    at: float


@attrs.define
class Blame:
    """Losses by content.

    Attributes:
        records: Upstreams that contents took down.
        suspected: Losses whose upstream may still be alive.
    """

    records: dict[bytes, Record] = attrs.field(factory=dict)
    suspected: list[Loss] = attrs.field(factory=list)


def suspect(blame: Blame, digest: bytes, upstream: str, now: float) -> None:
    """Note that an upstream broke off while it ran a content."""
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
    """Count the contents that an upstream ran when it went down.

    A lost answer alone is no sign of that: connections are reset for other
    reasons, too.
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
    """Count an upstream that broke off while it ran a content."""
    record = blame.records.pop(digest, None) or Record(set(), forget_at)
    record.lost.add(upstream)
    record.forget_at = forget_at
    blame.records[digest] = record
    if len(blame.records) > MAX_CONTENTS:
        blame.records.pop(next(iter(blame.records)))


def clear(blame: Blame, digest: bytes) -> None:
    """Forget a content that an upstream ran to its end."""
    blame.records.pop(digest, None)


def losses(blame: Blame, digest: bytes, now: float) -> int:
    """Return how many upstreams a content has lost lately."""
    record = blame.records.get(digest)
    if record is None or now >= record.forget_at:
        blame.records.pop(digest, None)
        return 0
    return len(record.lost)
