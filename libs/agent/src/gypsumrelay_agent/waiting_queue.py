"""Adapter of the fair queue to the queue interface of the ledger."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
from gypsumrelay_routing import FairQueue, QueuedRequest, Rejected
from gypsumrelay_upstreams import Key, WaitingItem


@attrs.define
class FairWaitingQueue:
    """Order waiting reservations by the fair queue.

    Attributes:
        queue: The fair queue.
        keys: Keys of the waiting reservations, by request id of the queue.
        rejected: Reservations that the fair queue rejected. They stay here
            until the ledger collects expired ones, so that each is refused
            exactly once.
    """

    queue: FairQueue = attrs.field(factory=FairQueue)
    keys: dict[str, Key] = attrs.field(factory=dict)
    rejected: list[Key] = attrs.field(factory=list)

    def push(self, waiting: WaitingItem, now: float) -> None:
        """Add a reservation to the queue."""
        queue_id = _queue_id(waiting.key)
        self.keys[queue_id] = waiting.key
        self._record_rejected(
            self.queue.push(
                QueuedRequest(
                    queue_id,
                    waiting.client_account,
                    waiting.weight,
                    max(1, waiting.cost),
                    waiting.deadline,
                    waiting.priority,
                ),
                now,
            ),
        )

    def pop_next(
        self,
        now: float,
        fits: Callable[[Key], bool],
    ) -> Key | None:
        """Remove and return the next reservation if it fits."""
        selection = self.queue.peek(now)
        self._record_rejected(selection.rejected)
        if selection.granted is None:
            return None
        key = self.keys[selection.granted.request_id]
        if not fits(key):
            return None
        self.queue.pop(now)
        return self.keys.pop(selection.granted.request_id)

    def remove(self, key: Key) -> bool:
        """Remove a reservation; return whether it was queued."""
        self.keys.pop(_queue_id(key), None)
        return self.queue.cancel(_queue_id(key)) is not None

    def expire(self, now: float) -> list[Key]:
        """Remove and return reservations that expired or were rejected."""
        self._record_rejected(self.queue.expire(now))
        expired = self.rejected
        self.rejected = []
        return expired

    def _record_rejected(self, rejected: Iterable[Rejected]) -> None:
        for rejection in rejected:
            key = self.keys.pop(rejection.waiting.request_id, None)
            if key is not None:
                self.rejected.append(key)


def _queue_id(key: Key) -> str:
    return f'{key.request_id}/{key.attempt}'
