"""Rate of bad answers of the old version, and how much it varies."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import attrs

# Rate of bad answers that is assumed before the old version has answered, as
# bad and all answers.
PRIOR_RATE: Final = (0.5, 25.0)
# Bounds of the correlation of the answers of one cell. Faults that come in
# bursts, like a busy machine's slow answers, have a high one. The lower bound
# gives the overall rate the weight of 99 answers, the upper one that of one.
CORRELATION: Final = (0.01, 0.5)


@attrs.frozen
class Rate:
    """Rate of bad answers over several cells.

    Attributes:
        mean: The rate.
        weight: Its weight beside the answers of a cell, in answers.
    """

    mean: float
    weight: float


def estimate_rate(cells: Sequence[tuple[int, int]]) -> Rate:
    """Return the rate, and its weight by how much the cells differ.

    The correlation is a moment estimate of the beta-binomial distribution
    (Kleinman, "Proportions with extraneous variance", 1973).

    Args:
        cells: All and bad answers of each cell.
    """
    prior_bad, prior_answers = PRIOR_RATE
    answers = sum(total for total, _ in cells)
    bad = sum(found for _, found in cells)
    mean = (bad + prior_bad) / (answers + prior_answers)
    return Rate(mean, 1 / _correlation(cells, mean) - 1)


def _correlation(cells: Sequence[tuple[int, int]], mean: float) -> float:
    variance = mean * (1 - mean)
    excess = sum(
        (found - total * mean) ** 2 - total * variance for total, found in cells
    )
    scale = sum(total * (total - 1) * variance for total, _ in cells)
    least, most = CORRELATION
    return min(most, max(least, excess / scale)) if scale else least
