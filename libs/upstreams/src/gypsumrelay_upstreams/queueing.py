"""The interface of a queue of waiting reservations, and a simple queue."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs


@attrs.frozen
class Key:
    """One attempt of one request."""

    request_id: str
    attempt: int


@attrs.frozen
class WaitingItem:
    """What a queue knows of a waiting reservation.

    Attributes:
        deadline: Instant after which the item is of no use.
        cost: Tokens that the request is charged at most.
        weight: Share of its client account in a fair queue.
        priority: Higher values are served first where the queue honours it.
    """

    key: Key
    client_account: str
    deadline: float
    cost: int = 1
    weight: int = 1
    priority: int = 0


class WaitingQueue(Protocol):
    """Orders the reservations that wait for a place."""

    def push(self, waiting: WaitingItem, now: float) -> None:
        """Add an item; its key is not in the queue yet."""

    def pop_next(
        self,
        now: float,
        fits: Callable[[Key], bool],
    ) -> Key | None:
        """Remove and return the next key, or None.

        Where the next item does not fit, the queue returns None and keeps
        its order, so that small requests never starve a large one.
        """

    def remove(self, key: Key) -> bool:
        """Remove an item; return whether it was there."""

    def expire(self, now: float) -> list[Key]:
        """Remove and return the items whose deadline has passed."""


@attrs.define
class DeadlineQueue:
    """Serves the earliest deadline first; equal ones in order of arrival."""

    items: dict[Key, WaitingItem] = attrs.field(factory=dict)

    def push(self, waiting: WaitingItem, now: float) -> None:
        """Add an item."""
        self.items[waiting.key] = waiting

    def pop_next(
        self,
        now: float,
        fits: Callable[[Key], bool],
    ) -> Key | None:
        """Remove and return the key with the earliest deadline."""
        first = min(self.items.values(), key=_deadline, default=None)
        if first is None or not fits(first.key):
            return None
        self.items.pop(first.key)
        return first.key

    def remove(self, key: Key) -> bool:
        """Remove an item; return whether it was there."""
        return self.items.pop(key, None) is not None

    def expire(self, now: float) -> list[Key]:
        """Remove and return the items whose deadline has passed."""
        late = [
            waiting.key
            for waiting in self.items.values()
            if waiting.deadline <= now
        ]
        for key in late:
            self.items.pop(key)
        return late


def _deadline(waiting: WaitingItem) -> float:
    return waiting.deadline
