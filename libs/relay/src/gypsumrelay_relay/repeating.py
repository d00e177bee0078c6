"""Repeats that this instance got, to tell the next coordinator of."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_dispatch import repeats_of

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Need


@attrs.frozen
class Repeat:
    """Repeats that a coordinator gave out for one attempt.

    Attributes:
        given_at: When.
        coordinator: Which one counts them.
        service: The service that gets them.
        count: How many.
    """

    given_at: float
    coordinator: str
    service: str
    count: int


@attrs.define
class Repeats:
    """Repeats that were given out lately, the newest last."""

    given: deque[Repeat] = attrs.field(factory=deque)


def note_repeat(
    repeats: Repeats,
    need: Need,
    coordinator: str,
    now: float,
) -> None:
    """Take note of a place for a further attempt."""
    if need.attempt > 1:
        count = repeats_of(need)
        repeats.given.append(Repeat(now, coordinator, need.service, count))


def hand_over(
    repeats: Repeats,
    coordinator: str,
    window_seconds: float,
    now: float,
) -> Counter[str]:
    """Return what others gave out within the window, by service.

    The coordinator that is told of them counts them from now on.
    """
    start = now - window_seconds
    while repeats.given and repeats.given[0].given_at < start:
        repeats.given.popleft()
    others: Counter[str] = Counter()
    for repeat in repeats.given:
        if repeat.coordinator != coordinator:
            others[repeat.service] += repeat.count
    repeats.given = deque(
        attrs.evolve(kept, coordinator=coordinator) for kept in repeats.given
    )
    return others
