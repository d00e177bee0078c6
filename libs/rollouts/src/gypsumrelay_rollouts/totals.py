"""Counts of the evidence that outlive the coordinator that judged it."""

from __future__ import annotations

import attrs


@attrs.frozen
class Totals:
    """What only the coordinator can count: it alone compares times.

    Attributes:
        slow: Slow answers of the new version, without failures.
        old_answers: Answers of the old version.
        old_slow: Slow ones among them.
        old_failed: Failures among them.
    """

    slow: int = 0
    old_answers: int = 0
    old_slow: int = 0
    old_failed: int = 0

    def plus(self, other: Totals) -> Totals:
        """Return the sums of both."""
        return Totals(
            self.slow + other.slow,
            self.old_answers + other.old_answers,
            self.old_slow + other.old_slow,
            self.old_failed + other.old_failed,
        )

    def highest(self, other: Totals) -> Totals:
        """Return the later one of two states of the same counts."""
        return Totals(
            max(self.slow, other.slow),
            max(self.old_answers, other.old_answers),
            max(self.old_slow, other.old_slow),
            max(self.old_failed, other.old_failed),
        )
