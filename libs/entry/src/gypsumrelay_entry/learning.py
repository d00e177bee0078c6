"""What an entry learns from its completed attempts and placements."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_routing import PlacementSettings

    from gypsumrelay_entry.events import Measured

# Weight of the newest measurement; about the last twenty decide.
STEP: Final = 0.05
MAX_MODELS: Final = 1024
MAX_HINTS: Final = 512
# A shorter prefill measures the way to the engine, not the engine.
MIN_COMPUTED_TOKENS: Final = 500


@attrs.define
class Learned:
    """Exponentially weighted means by model, and hints of cached prefixes.

    Attributes:
        settings: Placement settings by model.
        hints: Digests of the prefixes sent to each upstream, oldest first.
    """

    base: PlacementSettings
    settings: dict[str, PlacementSettings] = attrs.field(factory=dict)
    hints: dict[str, dict[bytes, None]] = attrs.field(factory=dict)

    def settings_for(self, serves: str) -> PlacementSettings:
        """Return the settings with what is known of a model."""
        return self.settings.get(serves, self.base)

    def learn(self, measured: Measured) -> None:
        """Take in a completed attempt."""
        known = self.settings.pop(measured.serves, self.base)
        speed = known.prefill_tokens_per_second
        if measured.computed_tokens >= MIN_COMPUTED_TOKENS:
            now = measured.computed_tokens / max(
                measured.prefill_seconds,
                1 / speed,
            )
            # The mean of the inverse, since times add up and speeds do not.
            speed = 1 / moved(1 / speed, 1 / now)
        self.settings[measured.serves] = attrs.evolve(
            known,
            prefill_tokens_per_second=speed,
            prefill_hold_seconds=moved(
                known.prefill_hold_seconds,
                measured.prefill_hold_seconds,
            ),
            decode_hold_seconds=moved(
                known.decode_hold_seconds,
                measured.decode_hold_seconds,
            ),
        )
        if len(self.settings) > MAX_MODELS:
            self.settings.pop(next(iter(self.settings)))

    def sent(self, upstream: str, prefixes: Iterable[bytes]) -> None:
        """Note that an upstream computes some prefixes."""
        hints = self.hints.setdefault(upstream, {})
        for prefix in prefixes:
            hints.pop(prefix, None)
            hints[prefix] = None
        while len(hints) > MAX_HINTS:
            hints.pop(next(iter(hints)))

    def forget(self, upstream: str) -> None:
        """Drop the hints of an upstream that is gone."""
        self.hints.pop(upstream, None)


def moved(mean: float, measured: float) -> float:
    """Return a mean moved towards a measurement; 0 stands for none."""
    if not mean or not measured:
        return mean or measured
    return mean + STEP * (measured - mean)
