"""Request contents that take down the upstreams that run them."""

from __future__ import annotations

from typing import Final

import attrs

# Bounds the memory; the oldest contents are forgotten first.
MAX_CONTENTS: Final = 4096


@attrs.define
class Record:
    """Upstreams that one content has lost, by name and start."""

    lost: set[tuple[str, int]]
    forget_at: float


@attrs.define
class Blame:
    """Losses by content."""

    records: dict[bytes, Record] = attrs.field(factory=dict)


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
