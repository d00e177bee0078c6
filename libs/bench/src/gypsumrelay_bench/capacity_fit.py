"""Least-squares lines through measured points."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import attrs


@attrs.frozen
class Fit:
    """A line through measured points.

    Attributes:
        slope: Growth for each unit of the size.
        intercept: Value at size zero.
        residual: Root mean square of the residuals, as a part of the mean
            measured value; 0 is a perfect line.
    """

    slope: float
    intercept: float
    residual: float

    def at_size(self, size: float) -> float:
        """Return the value that the line predicts at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], measured: Sequence[float]) -> Fit:
    """Return the least-squares line through the points."""
    count = len(sizes)
    if count != len(measured) or len(set(sizes)) < 2:
        raise ValueError('a line needs two different sizes and their values')
    mean_size = math.fsum(sizes) / count
    mean_value = math.fsum(measured) / count
    spread = math.fsum((size - mean_size) ** 2 for size in sizes)
    shared = math.fsum(
        (size - mean_size) * (one - mean_value)
        for size, one in zip(sizes, measured, strict=True)
    )
    slope = shared / spread
    intercept = mean_value - slope * mean_size
    squares = math.fsum(
        (one - intercept - slope * size) ** 2
        for size, one in zip(sizes, measured, strict=True)
    )
    deviation = math.sqrt(squares / count)
    return Fit(slope, intercept, deviation / (abs(mean_value) or 1))


def merge_named(*groups: Mapping[str, float]) -> dict[str, float]:
    """Return all figures by name.

    A name that two groups use is refused, since one figure would silently
    stand for the other.
    """
    merged: dict[str, float] = {}
    for group in groups:
        doubled = merged.keys() & group.keys()
        if doubled:
            raise ValueError(f'figures of the same name: {sorted(doubled)}')
        merged.update(group)
    return merged
