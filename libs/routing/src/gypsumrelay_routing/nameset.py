"""Set of names with a random choice in constant time."""

from __future__ import annotations

from random import Random

import attrs


@attrs.define
class NameSet:
    """List of distinct names with an index of their positions.

    The order of the names depends only on the order of changes, so that a
    run with a fixed seed is reproducible. The order of a built-in set of
    strings varies between processes.
    """

    names: list[str] = attrs.field(factory=list)
    positions: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self.names)

    def add(self, name: str) -> None:
        """Add a name if it is not present."""
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name and move the last name to its position."""
        position = self.positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position

    def choose(self, rng: Random) -> str:
        """Return a random name; the set must not be empty."""
        return self.names[int(rng.random() * len(self.names))]
