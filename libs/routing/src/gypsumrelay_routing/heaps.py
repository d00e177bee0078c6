"""Heap of named members with removal by name."""

from __future__ import annotations

import heapq
from typing import Final, Generic, TypeVar

import attrs

Key = TypeVar('Key', float, tuple[float, float])

# Below this size a rebuild costs more than the dead members it removes.
_REBUILD_MINIMUM: Final = 16


@attrs.define
class KeyedHeap(Generic[Key]):
    """Smallest key first; equal keys in the order of insertion.

    A removed or moved member stays in the list until it surfaces, or until
    more than half of the list is dead. Operations are O(log n) amortised
    and memory is bounded by twice the live members.
    """

    nodes: list[tuple[Key, int, str]] = attrs.field(factory=list)
    serials: dict[str, int] = attrs.field(factory=dict)
    last_serial: int = 0

    def __len__(self) -> int:
        """Return the number of live members."""
        return len(self.serials)

    def __contains__(self, name: object) -> bool:
        """Return whether a member is live."""
        return name in self.serials

    def put(self, name: str, key: Key) -> None:
        """Insert a member or move it to a new key."""
        self.last_serial += 1
        self.serials[name] = self.last_serial
        heapq.heappush(self.nodes, (key, self.last_serial, name))
        self._rebuild_if_sparse()

    def remove(self, name: str) -> None:
        """Remove a member if it is there."""
        if self.serials.pop(name, None) is not None:
            self._rebuild_if_sparse()

    def first(self) -> tuple[Key, str] | None:
        """Return the smallest key and its member."""
        while self.nodes:
            key, serial, name = self.nodes[0]
            if self.serials.get(name) == serial:
                return key, name
            heapq.heappop(self.nodes)
        return None

    def _rebuild_if_sparse(self) -> None:
        limit = 2 * len(self.serials) + _REBUILD_MINIMUM
        if len(self.nodes) <= limit:
            return
        self.nodes = [
            node for node in self.nodes if self.serials.get(node[2]) == node[1]
        ]
        heapq.heapify(self.nodes)
