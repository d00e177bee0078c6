"""History of granted retries, which is reported to a new coordinator."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import attrs
from gypsumrelay_dispatch import repeats_of

if TYPE_CHECKING:
    from gypsumrelay_dispatch import Need


@attrs.frozen
class Repeat:
    """Retries that a coordinator granted for one attempt.

    Attributes:
        given_at: Instant of the grant.
        coordinator: Name of the coordinator that counts them.
        service: The service that they were granted to.
        count: Number of retries.
    """

    given_at: float
    coordinator: str
    service: str
    count: int


@attrs.define
class Repeats:
    """Retries that were granted recently.

    Attributes:
        given: The grants, the newest last.
    """

    given: deque[Repeat] = attrs.field(factory=deque)


def note_repeat(
    repeats: Repeats,
    need: Need,
    coordinator: str,
    now: float,
) -> None:
    """Record the placement of a second or later attempt."""
    if need.attempt > 1:
        count = repeats_of(need)
        repeats.given.append(Repeat(now, coordinator, need.service, count))


def hand_over(
    repeats: Repeats,
    coordinator: str,
    window_seconds: float,
    now: float,
) -> Counter[str]:
    """Return the retries that other coordinators granted, by service.

    The named coordinator counts them from now on. Grants from before the window
    are dropped.
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
