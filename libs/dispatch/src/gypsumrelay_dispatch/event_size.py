"""Mean size of the events of a service's streams."""

from __future__ import annotations

from typing import Final

import attrs

# Initial tokens of an event, replaced by measurements.
INITIAL_EVENT_TOKENS: Final = 12.0
# Events that the initial value weighs as much as: those of three streams.
INITIAL_EVENTS: Final = 210.0
# Part of the past streams that still counts after another one. Announced
# lengths are off by a factor of about 1.6, so that only the mean of many
# streams is used.
RETENTION: Final = 0.99


@attrs.define
class EventSize:
    """Announced tokens and measured events of the recent streams, faded.

    Attributes:
        tokens: Sum of the announced lengths.
        events: Sum of the events.
    """

    tokens: float = INITIAL_EVENT_TOKENS * INITIAL_EVENTS
    events: float = INITIAL_EVENTS

    @property
    def tokens_per_event(self) -> float:
        """Return the mean number of tokens of an event."""
        return max(1, self.tokens / self.events)

    def observe(self, tokens: int, events: int) -> None:
        """Add a complete stream."""
        self.tokens = self.tokens * RETENTION + tokens
        self.events = self.events * RETENTION + events
