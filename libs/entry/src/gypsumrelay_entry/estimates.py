"""Estimates of model speeds and hints of cached prefixes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_routing import PlacementSettings

    from gypsumrelay_entry.events import Measured

# Weight of the newest measurement in the moving average; the last twenty
# measurements have most of the weight.
STEP: Final = 0.05
MAX_MODELS: Final = 1024
MAX_HINTS: Final = 512
# The time of a shorter prefill is mostly network latency, not computation.
MIN_COMPUTED_TOKENS: Final = 500


@attrs.define
class Learned:
    """Moving averages by model and hints of cached prefixes by upstream.

    The averages are exponentially weighted.

    Attributes:
        base: Placement settings of models without measurements.
        settings: Placement settings by model, the least recently measured
            first.
        hints: Digests of the prefixes sent to each upstream, the least
            recently sent first.
    """

    base: PlacementSettings
    settings: dict[str, PlacementSettings] = attrs.field(factory=dict)
    hints: dict[str, dict[bytes, None]] = attrs.field(factory=dict)

    def settings_for(self, serves: str) -> PlacementSettings:
        """Return the placement settings with the averages of a model."""
        return self.settings.get(serves, self.base)

    def learn(self, measured: Measured) -> None:
        """Update the averages of a model with a completed attempt."""
        known = self.settings.pop(measured.serves, self.base)
        speed = known.prefill_tokens_per_second
        if measured.computed_tokens >= MIN_COMPUTED_TOKENS:
            now = measured.computed_tokens / max(
                measured.prefill_seconds,
                1 / speed,
            )
            # Averages the time per token, since times are additive and
            # speeds are not.
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
        """Add hints for the prefixes of a prompt sent to an upstream."""
        hints = self.hints.setdefault(upstream, {})
        for prefix in prefixes:
            hints.pop(prefix, None)
            hints[prefix] = None
        while len(hints) > MAX_HINTS:
            hints.pop(next(iter(hints)))

    def forget(self, upstream: str) -> None:
        """Remove the hints of an upstream that is no longer used."""
        self.hints.pop(upstream, None)


def moved(mean: float, measured: float) -> float:
    """Return a moving average after a measurement.

    A mean or measurement of 0 counts as missing.
    """
    if not mean or not measured:
        return mean or measured
    return mean + STEP * (measured - mean)
