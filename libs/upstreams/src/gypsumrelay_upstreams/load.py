"""Load summary of an upstream and hints of its cached prefixes."""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from gypsumrelay_upstreams import capacity
from gypsumrelay_upstreams.coldstart import is_cold
from gypsumrelay_upstreams.ramp import ColdRamp
from gypsumrelay_upstreams.reservations import Ledger


@attrs.frozen
class HintSettings:
    """Limits of the prefix hints.

    Attributes:
        max_reported: Maximum number of digests in a load report, which is
            sent to every entry each second.
        max_hints: Maximum number of digests that are stored.
        uncertain_seconds: Time after its last use at which a hint expires
            if an eviction event may have been missed.
    """

    max_reported: int = 48
    max_hints: int = 1000
    uncertain_seconds: float = 60


@attrs.frozen
class CacheEvent:
    """An event of the engine's prefix cache.

    Attributes:
        number: Sequence number of the event.
        stored: Whether the prefix was stored; otherwise it was evicted.
        prefix: Digest of the prefix.
    """

    number: int
    stored: bool
    prefix: bytes


@attrs.define
class PrefixHint:
    """State of a prefix that the engine may have cached.

    Attributes:
        used_at: Time of the last use.
        certain: Whether no event was missed since then.
    """

    used_at: float
    certain: bool = True


@attrs.define
class PrefixHints:
    """Prefixes that the engine has probably cached.

    Attributes:
        settings: Limits of the hints.
        by_prefix: Hints by digest of the prefix.
        incarnation: Incarnation of the engine that sent the events.
        next_number: Sequence number of the next event.
        asked_at: Time at which the newest events were requested.
    """

    settings: HintSettings = attrs.field(factory=HintSettings)
    by_prefix: dict[bytes, PrefixHint] = attrs.field(factory=dict)
    incarnation: str = ''
    next_number: int = 0
    asked_at: float = -math.inf


@attrs.frozen
class LoadSummary:
    """Load of an upstream, as it is reported to the entries.

    Attributes:
        free_slots: Number of slots that can be granted now.
        free_pieces: Number of free memory blocks.
        waiting: Number of waiting reservations.
        draining: Whether new reservations are refused.
        cold: Whether the engine counts as cold.
        slots: Maximum number of concurrent runs.
        prefixes: Digests of cached prefixes; certain ones come before
            uncertain ones, and recently used ones before older ones.
    """

    free_slots: int
    free_pieces: int
    waiting: int
    draining: bool
    cold: bool
    slots: int
    prefixes: tuple[bytes, ...]


def observe_events(
    hints: PrefixHints,
    incarnation: str,
    events: Sequence[CacheEvent],
    asked_at: float,
    now: float,
) -> None:
    """Apply cache events; a response to an older request is ignored.

    A missing sequence number may have been an eviction, so all earlier
    hints become uncertain. Sequence numbers restart with a new incarnation
    of the engine.
    """
    if asked_at <= hints.asked_at:
        return
    hints.asked_at = asked_at
    if incarnation != hints.incarnation:
        hints.by_prefix.clear()
        hints.incarnation = incarnation
        hints.next_number = 0
    for event in events:
        _observe_event(hints, event, now)
    _evict(hints, now)


def observe_use(
    hints: PrefixHints,
    prefixes: Sequence[bytes],
    now: float,
) -> None:
    """Record the prefixes that a finished prefill has used or stored."""
    for prefix in prefixes:
        hints.by_prefix[prefix] = PrefixHint(now)
    _evict(hints, now)


def cached_pieces(hints: PrefixHints, prefixes: Sequence[bytes]) -> int:
    """Return the number of leading blocks of a prompt with certain hints."""
    count = 0
    for prefix in prefixes:
        hint = hints.by_prefix.get(prefix)
        if hint is None or not hint.certain:
            break
        count += 1
    return count


def summarize(
    ledger: Ledger,
    ramp: ColdRamp,
    hints: PrefixHints,
    now: float,
) -> LoadSummary:
    """Return the load of the upstream for a report to the entries."""
    _evict(hints, now)
    ranked = list(reversed(_eviction_order(hints)))
    return LoadSummary(
        capacity.free_slots(ledger),
        capacity.free_pieces(ledger),
        len(ledger.waiting),
        ledger.draining,
        is_cold(ramp),
        ledger.settings.slots,
        tuple(ranked[: hints.settings.max_reported]),
    )


def _observe_event(hints: PrefixHints, event: CacheEvent, now: float) -> None:
    if event.number < hints.next_number:
        return
    if event.number > hints.next_number:
        for hint in hints.by_prefix.values():
            hint.certain = False
    hints.next_number = event.number + 1
    if event.stored:
        hints.by_prefix[event.prefix] = PrefixHint(now)
    else:
        hints.by_prefix.pop(event.prefix, None)


def _evict(hints: PrefixHints, now: float) -> None:
    oldest = now - hints.settings.uncertain_seconds
    for prefix, hint in list(hints.by_prefix.items()):
        if not hint.certain and hint.used_at <= oldest:
            hints.by_prefix.pop(prefix)
    excess = len(hints.by_prefix) - hints.settings.max_hints
    for evicted in _eviction_order(hints)[: max(0, excess)]:
        hints.by_prefix.pop(evicted)


def _eviction_order(hints: PrefixHints) -> list[bytes]:
    """Return the prefixes in order of eviction.

    Uncertain hints come first, then the least recently used ones.
    """

    def rank(prefix: bytes) -> tuple[bool, float]:
        hint = hints.by_prefix[prefix]
        return hint.certain, hint.used_at

    return sorted(hints.by_prefix, key=rank)
