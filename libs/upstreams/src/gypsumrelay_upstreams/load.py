"""Summary of the upstream's load and of the prefixes in its cache."""

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
    """Bounds of the prefix hints.

    Attributes:
        max_reported: Digests in a load report, which every entry gets each
            second.
        max_known: Digests kept here.
        uncertain_seconds: Time after its newest use that a hint is kept
            when an eviction may have been missed.
    """

    max_reported: int = 48
    max_known: int = 1000
    uncertain_seconds: float = 60


@attrs.frozen
class CacheEvent:
    """One event of the engine's prefix cache."""

    number: int
    stored: bool
    prefix: bytes


@attrs.define
class PrefixHint:
    """When a prefix was last used, and whether it is surely cached."""

    used_at: float
    certain: bool = True


@attrs.define
class PrefixHints:
    """Prefixes that the engine's cache probably holds.

    Attributes:
        next_number: Number of the next event.
        asked_at: Instant at which the newest events were asked for.
    """

    settings: HintSettings = attrs.field(factory=HintSettings)
    known: dict[bytes, PrefixHint] = attrs.field(factory=dict)
    incarnation: str = ''
    next_number: int = 0
    asked_at: float = -math.inf


@attrs.frozen
class LoadSummary:
    """What an entry needs to know of the upstream.

    Attributes:
        prefixes: Certain ones first, the most recently used first.
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
    """Take over cache events; an answer to an earlier question is ignored.

    A missing number may have been an eviction, so all hints from before it
    become uncertain. The numbers of a new engine start again.
    """
    if asked_at <= hints.asked_at:
        return
    hints.asked_at = asked_at
    if incarnation != hints.incarnation:
        hints.known.clear()
        hints.incarnation = incarnation
        hints.next_number = 0
    for event in events:
        _observe_event(hints, event, now)
    _keep_bounds(hints, now)


def observe_use(
    hints: PrefixHints,
    prefixes: Sequence[bytes],
    now: float,
) -> None:
    """Take note of a finished prefill, which used or stored its prefixes."""
    for prefix in prefixes:
        hints.known[prefix] = PrefixHint(now)
    _keep_bounds(hints, now)


def cached_pieces(hints: PrefixHints, prefixes: Sequence[bytes]) -> int:
    """Return how many leading pieces of a prompt are surely cached."""
    count = 0
    for prefix in prefixes:
        hint = hints.known.get(prefix)
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
    """Return the load of the upstream as entries should see it."""
    _keep_bounds(hints, now)
    ranked = list(reversed(_by_rank(hints)))
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
        for hint in hints.known.values():
            hint.certain = False
    hints.next_number = event.number + 1
    if event.stored:
        hints.known[event.prefix] = PrefixHint(now)
    else:
        hints.known.pop(event.prefix, None)


def _keep_bounds(hints: PrefixHints, now: float) -> None:
    oldest = now - hints.settings.uncertain_seconds
    for prefix, hint in list(hints.known.items()):
        if not hint.certain and hint.used_at <= oldest:
            hints.known.pop(prefix)
    excess = len(hints.known) - hints.settings.max_known
    for dropped in _by_rank(hints)[: max(0, excess)]:
        hints.known.pop(dropped)


def _by_rank(hints: PrefixHints) -> list[bytes]:
    """Return the prefixes, the least useful hint first."""

    def rank(prefix: bytes) -> tuple[bool, float]:
        hint = hints.known[prefix]
        return hint.certain, hint.used_at

    return sorted(hints.known, key=rank)
