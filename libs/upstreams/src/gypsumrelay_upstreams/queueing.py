"""Interface of the queue of waiting reservations, and a deadline queue."""

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
    """Queue item of a waiting reservation.

    Attributes:
        key: Request id and attempt.
        client_account: The client account that is charged.
        deadline: Time after which the item expires.
        cost: Maximum number of tokens that the request is charged.
        weight: Weight of the client account in a fair queue.
        priority: Priority, for queues that support it; the order of the
            values is defined by the queue.
    """

    key: Key
    client_account: str
    deadline: float
    cost: int = 1
    weight: int = 1
    priority: int = 0


class WaitingQueue(Protocol):
    """Queue of reservations that wait for a slot."""

    def push(self, waiting: WaitingItem, now: float) -> None:
        """Add an item whose key is not in the queue."""

    def pop_next(
        self,
        now: float,
        fits: Callable[[Key], bool],
    ) -> Key | None:
        """Remove and return the next key, or None if it does not fit.

        No later item is tried instead, so that small requests never starve
        a large one.
        """

    def remove(self, key: Key) -> bool:
        """Remove an item; return whether it was there."""

    def expire(self, now: float) -> list[Key]:
        """Remove and return the items whose deadline has passed."""


@attrs.define
class DeadlineQueue:
    """Earliest-deadline-first queue, FIFO for equal deadlines."""

    items: dict[Key, WaitingItem] = attrs.field(factory=dict)

    def push(self, waiting: WaitingItem, now: float) -> None:
        """Add an item."""
        self.items[waiting.key] = waiting

    def pop_next(
        self,
        now: float,
        fits: Callable[[Key], bool],
    ) -> Key | None:
        """Remove and return the key with the earliest deadline if it fits."""
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
        expired_keys = [
            waiting.key
            for waiting in self.items.values()
            if waiting.deadline <= now
        ]
        for key in expired_keys:
            self.items.pop(key)
        return expired_keys


def _deadline(waiting: WaitingItem) -> float:
    return waiting.deadline
