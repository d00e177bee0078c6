"""Estimates of model speeds and hints of cached prefixes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_routing import PlacementSettings

    from gypsumrelay_entry.events import AttemptDurations

# Weight of the newest measurement in the moving average; the last twenty
# measurements have most of the weight.
SMOOTHING_FACTOR: Final = 0.05
MAX_MODELS: Final = 1024
MAX_HINTS: Final = 512
# The time of a shorter prefill is mostly network latency, not computation.
MIN_COMPUTED_TOKENS: Final = 500


@attrs.define
class PlacementEstimates:
    """Moving averages by model and hints of cached prefixes by upstream.

    The averages are exponentially weighted.

    Attributes:
        default_settings: Placement settings of models without measurements.
        settings_by_model: Placement settings by model, the least recently
            measured first.
        prefix_hints: Digests of the prefixes sent to each upstream, the least
            recently sent first.
    """

    default_settings: PlacementSettings
    settings_by_model: dict[str, PlacementSettings] = attrs.field(factory=dict)
    prefix_hints: dict[str, dict[bytes, None]] = attrs.field(factory=dict)

    def settings_for(self, serves: str) -> PlacementSettings:
        """Return the placement settings with the averages of a model."""
        return self.settings_by_model.get(serves, self.default_settings)

    def record_durations(self, durations: AttemptDurations) -> None:
        """Update the averages of a model with a completed attempt."""
        current = self.settings_by_model.pop(
            durations.serves, self.default_settings
        )
        speed = current.prefill_tokens_per_second
        if durations.computed_tokens >= MIN_COMPUTED_TOKENS:
            latest_speed = durations.computed_tokens / max(
                durations.prefill_seconds,
                1 / speed,
            )
            # Averages the time per token, since times are additive and
            # speeds are not.
            speed = 1 / moving_average(1 / speed, 1 / latest_speed)
        self.settings_by_model[durations.serves] = attrs.evolve(
            current,
            prefill_tokens_per_second=speed,
            prefill_hold_seconds=moving_average(
                current.prefill_hold_seconds,
                durations.prefill_hold_seconds,
            ),
            decode_hold_seconds=moving_average(
                current.decode_hold_seconds,
                durations.decode_hold_seconds,
            ),
        )
        if len(self.settings_by_model) > MAX_MODELS:
            self.settings_by_model.pop(next(iter(self.settings_by_model)))

    def add_hints(self, upstream: str, prefixes: Iterable[bytes]) -> None:
        """Add hints for the prefixes of a prompt sent to an upstream."""
        hints = self.prefix_hints.setdefault(upstream, {})
        for prefix in prefixes:
            hints.pop(prefix, None)
            hints[prefix] = None
        while len(hints) > MAX_HINTS:
            hints.pop(next(iter(hints)))

    def remove_hints(self, upstream: str) -> None:
        """Remove the hints of an upstream that is no longer used."""
        self.prefix_hints.pop(upstream, None)


def moving_average(mean: float, measurement: float) -> float:
    """Return a moving average after a measurement.

    A mean or measurement of 0 counts as missing.
    """
    if not mean or not measurement:
        return mean or measurement
    return mean + SMOOTHING_FACTOR * (measurement - mean)
