"""Set of names with random choice in constant time."""

from __future__ import annotations

from random import Random

import attrs


@attrs.define
class NameSet:
    """Names in a list with their positions.

    Iteration order depends only on the order of changes, so that a seeded
    run repeats exactly; a set of strings would not give this.
    """

    names: list[str] = attrs.field(factory=list)
    positions: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self.names)

    def add(self, name: str) -> None:
        """Add a name if it is not there."""
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name; the last one takes its position."""
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
