"""Priority queue with removal by name."""

from __future__ import annotations

import heapq
from typing import Final, Generic, TypeVar

import attrs

Key = TypeVar('Key', float, tuple[float, float])

# Below this size, a rebuild costs more than the stale nodes that it removes.
_REBUILD_MINIMUM: Final = 16


@attrs.define
class KeyedHeap(Generic[Key]):
    """Min-heap of named items with lazy deletion.

    Items with equal keys are returned in the order of insertion. The node
    of a removed or moved item becomes stale and stays in the list until it
    reaches the top, or until about half of the list is stale and the list
    is rebuilt. Operations take O(log n) amortised time, and the list has
    at most twice as many nodes as live items, plus a constant.

    Attributes:
        nodes: Heap of key, serial number and name; may hold stale nodes.
        serials: Serial number of each live item's current node, by name.
        last_serial: Serial number of the latest insertion.
    """

    nodes: list[tuple[Key, int, str]] = attrs.field(factory=list)
    serials: dict[str, int] = attrs.field(factory=dict)
    last_serial: int = 0

    def __len__(self) -> int:
        """Return the number of live items."""
        return len(self.serials)

    def __contains__(self, name: object) -> bool:
        """Return whether an item with this name is live."""
        return name in self.serials

    def put(self, name: str, key: Key) -> None:
        """Insert an item or move it to a new key."""
        self.last_serial += 1
        self.serials[name] = self.last_serial
        heapq.heappush(self.nodes, (key, self.last_serial, name))
        self._rebuild_if_sparse()

    def remove(self, name: str) -> None:
        """Remove an item if it is present."""
        if self.serials.pop(name, None) is not None:
            self._rebuild_if_sparse()

    def first(self) -> tuple[Key, str] | None:
        """Return the smallest key and its item's name, None if empty."""
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
