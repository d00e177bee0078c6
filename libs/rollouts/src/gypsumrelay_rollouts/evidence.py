"""What the answers of the new version show compared with the old one's.

Answers are counted in cells: the same time window, route and phase. The old
version's rate of bad answers in a cell gives the number that the new version is
expected to have there, so that a fault which affects both versions, or a route
that always fails, does not count against the new one.
"""

from __future__ import annotations

import importlib
import math
from collections import Counter, deque
from collections.abc import Set as AbstractSet
from typing import Final

import attrs

from gypsumrelay_rollouts.rates import Rate, estimate_rate
from gypsumrelay_rollouts.totals import Totals

WINDOW_SECONDS: Final = 2.0
# An answer is slow if it takes this many times the old version's median; bad
# versions are several times slower.
SLOW_FACTOR: Final = 2.0
# Answers of the old version that its median is taken from, and the minimum.
REFERENCE_ANSWERS: Final = 31
MIN_REFERENCE_ANSWERS: Final = 7
# First seconds and answers of an upstream of the new version whose times are
# not judged, since it may be cold.
COLD_SECONDS: Final = 2.0
COLD_ANSWERS: Final = 3
# Minimum bad answers before a version is judged bad.
MIN_BAD: Final = 5
# Standard deviations above the expectation from which a version is bad. The
# test is repeated, and a good version reached 2.7 by chance in a trial.
BAD_SCORE: Final = 4.0
# The same for the upstreams beside the worst one, which have to confirm it.
CONFIRMING_SCORE: Final = 1.5
MIN_CONFIRMING: Final = 2
# The same for one upstream, which then gets nothing more.
SUSPECT_SCORE: Final = 3.0
MIN_SUSPECT_BAD: Final = 3

NOBODY: Final[frozenset[str]] = frozenset()

CellKey = tuple[int, str, str]

# Cell of the answers under earlier coordinators.
REPORTED: Final[CellKey] = (-1, '', '')
# Start of the names under which they count in place of an upstream.
REPORTED_PREFIX: Final = 'reported '


@attrs.frozen
class Answer:
    """An answer, or a failure, of an upstream.

    Attributes:
        upstream: Name of the upstream.
        is_new: Whether the upstream is of the new version.
        route: Route of the request.
        phase: Phase of the upstream.
        failed: Whether the answer is a failure.
        seconds: Time of the answer per unit of its work; None if unknown.
        is_crash: Whether the upstream crashed, which ends all that it runs; the
            first one in a window counts.
        is_partial: Whether the request was given up before the end of the
            answer; it counts only if it was slow by then.
    """

    upstream: str
    is_new: bool
    route: str
    phase: str
    failed: bool
    seconds: float | None = None
    is_crash: bool = False
    is_partial: bool = False


@attrs.define
class Count:
    """Number of answers and of bad ones."""

    answers: int = 0
    bad: int = 0

    def add(self, *, bad: bool) -> None:
        """Count an answer."""
        self.answers += 1
        self.bad += bad


@attrs.define
class Cell:
    """Answers in one window, on one route and in one phase.

    Attributes:
        old: Answers of the old version.
        new: Answers of the new version, by upstream.
        crashed: Upstreams of either version that crashed.
    """

    old: Count = attrs.field(factory=Count)
    new: dict[str, Count] = attrs.field(factory=dict)
    crashed: set[str] = attrs.field(factory=set)


@attrs.define
class Evidence:
    """Answers of both versions since the order.

    Attributes:
        cells: The counted answers.
        references: Times of the old version's last answers, by route and
            phase.
        first_at: Instant of the first answer of each new upstream.
        counted: Answers of each new upstream.
        totals: Counts of this coordinator.
        reported: Counts of earlier coordinators.
    """

    cells: dict[CellKey, Cell] = attrs.field(factory=dict)
    references: dict[tuple[str, str], deque[float]] = attrs.field(factory=dict)
    first_at: dict[str, float] = attrs.field(factory=dict)
    counted: Counter[str] = attrs.field(factory=Counter)
    totals: Totals = attrs.field(factory=Totals)
    reported: Totals = attrs.field(factory=Totals)


@attrs.define
class Tally:
    """Answers of one new upstream on one route, and what is expected of them.

    Attributes:
        answers: Its answers.
        bad: Bad ones among them.
        expected: Bad ones if the upstream were like the old version.
        variance: Variance of that expectation.
    """

    answers: int = 0
    bad: int = 0
    expected: float = 0
    variance: float = 0


@attrs.frozen
class Summary:
    """Answers of the new version's upstreams, by route and upstream."""

    tallies: dict[tuple[str, str], Tally] = attrs.field(factory=dict)


@attrs.frozen
class Comparison:
    """The new version's bad answers and those expected of it.

    Attributes:
        answers: Answers of the new version.
        bad: Bad ones among them.
        expected: Bad ones if the new version were like the old one.
        score: Excess in standard deviations.
        route: Route that was compared; empty for all.
        variance: Variance of the expectation.
    """

    answers: int
    bad: int
    expected: float
    score: float
    route: str = ''
    variance: float = 0


def observe(evidence: Evidence, answer: Answer, now: float) -> None:
    """Count an answer of either version."""
    bad = answer.failed or _is_slow(evidence, answer, now)
    if answer.is_partial and not bad:
        return
    key = (int(now / WINDOW_SECONDS), answer.route, answer.phase)
    cell = evidence.cells.setdefault(key, Cell())
    if answer.is_crash:
        if answer.upstream in cell.crashed:
            return
        cell.crashed.add(answer.upstream)
    evidence.totals = evidence.totals.plus(_totals_of(answer, bad=bad))
    if answer.is_new:
        evidence.first_at.setdefault(answer.upstream, now)
        evidence.counted[answer.upstream] += 1
        cell.new.setdefault(answer.upstream, Count()).add(bad=bad)
        return
    cell.old.add(bad=bad)
    if answer.seconds is not None and not (answer.failed or answer.is_partial):
        times = evidence.references.setdefault(
            (answer.route, answer.phase), deque(maxlen=REFERENCE_ANSWERS)
        )
        times.append(answer.seconds)


def restore(evidence: Evidence, entry: str, answers: int, bad: int) -> None:
    """Count answers of the new version that an instance reports.

    Their windows and upstreams are unknown, so that they count as those of one
    upstream.
    """
    cell = evidence.cells.setdefault(REPORTED, Cell())
    cell.new[f'reported by {entry}'] = Count(answers, bad)


def restore_totals(
    evidence: Evidence, totals: Totals, *, with_times: bool
) -> None:
    """Count what an earlier coordinator judged.

    Args:
        evidence: The answers.
        totals: Counts of the earlier coordinator, as a grant stated them.
        with_times: Whether slow answers count.
    """
    evidence.reported = evidence.reported.highest(totals)
    found = evidence.reported
    cell = evidence.cells.setdefault(REPORTED, Cell())
    cell.old = Count(found.old_answers, found.old_failed)
    if with_times:
        cell.old.bad += found.old_slow
        if found.slow:
            cell.new['reported as slow'] = Count(found.slow, found.slow)


def _totals_of(answer: Answer, *, bad: bool) -> Totals:
    slow = bad and not answer.failed
    if answer.is_new:
        return Totals(slow=int(slow))
    return Totals(0, 1, int(slow), int(answer.failed))


def summarize(evidence: Evidence) -> Summary:
    """Return what the new version's upstreams answered and what is expected.

    One pass over all cells, since it is repeated several times a second.
    """
    counts: dict[str, list[tuple[int, int]]] = {}
    for (_, route, _), cell in evidence.cells.items():
        counts.setdefault(route, []).append((cell.old.answers, cell.old.bad))
    rates = {name: estimate_rate(found) for name, found in counts.items()}
    summary = Summary()
    for (_, route, _), cell in evidence.cells.items():
        if cell.new:
            _add_cell(summary, route, cell, rates[route])
    return summary


def compare(
    summary: Summary, route: str = '', without: AbstractSet[str] = NOBODY
) -> Comparison:
    """Compare the versions, on one route or on all.

    Args:
        summary: The counted answers.
        route: The route; empty for all.
        without: Upstreams of the new version that are left out.
    """
    return _comparison(
        route,
        [
            tally
            for (of_route, upstream), tally in summary.tallies.items()
            if (not route or of_route == route) and upstream not in without
        ],
    )


def worst(summary: Summary, without: AbstractSet[str] = NOBODY) -> Comparison:
    """Return the comparison with the highest score, overall or of a route."""
    return max(
        (compare(summary, route, without) for route in scopes(summary)),
        key=lambda found: found.score,
    )


def find_bad(
    summary: Summary, alternatives: AbstractSet[str]
) -> Comparison | None:
    """Return what shows that the new version is bad, if anything does.

    A single bad upstream is no bad version: others have to confirm it, unless
    there is no other one of its phase.

    Args:
        summary: The counted answers.
        alternatives: New upstreams beside which there is another one of the
            same phase.
    """
    for route in scopes(summary):
        found = compare(summary, route)
        if found.bad < MIN_BAD or found.score < BAD_SCORE:
            continue
        upstream = _worst_upstream(summary, route)
        if upstream not in alternatives:
            return found
        others = compare(summary, route, frozenset((upstream,)))
        confirmed = others.bad >= MIN_CONFIRMING
        if confirmed and others.score >= CONFIRMING_SCORE:
            return found
    return None


def scopes(summary: Summary) -> list[str]:
    """Return the routes to compare; the empty one stands for all."""
    return ['', *sorted({route for route, _ in summary.tallies if route})]


def suspects(summary: Summary) -> frozenset[str]:
    """Return the new upstreams that are worse than the old version."""
    by_upstream: dict[str, list[Tally]] = {}
    for (_, upstream), tally in summary.tallies.items():
        by_upstream.setdefault(upstream, []).append(tally)
    singles = {
        name: _comparison('', tallies) for name, tallies in by_upstream.items()
    }
    return frozenset(
        name
        for name, single in singles.items()
        if single.bad >= MIN_SUSPECT_BAD and single.score >= SUSPECT_SCORE
    )


def _add_cell(summary: Summary, route: str, cell: Cell, prior: Rate) -> None:
    weight = cell.old.answers + prior.weight
    rate = (cell.old.bad + prior.weight * prior.mean) / weight
    # The old version's rate is an estimate itself.
    total = sum(count.answers for count in cell.new.values())
    spread = 1 + total / weight
    for upstream, count in cell.new.items():
        tally = summary.tallies.setdefault((route, upstream), Tally())
        tally.answers += count.answers
        tally.bad += count.bad
        tally.expected += count.answers * rate
        tally.variance += count.answers * rate * (1 - rate) * spread


def _comparison(route: str, tallies: list[Tally]) -> Comparison:
    bad = sum(tally.bad for tally in tallies)
    expected = sum(tally.expected for tally in tallies)
    variance = sum(tally.variance for tally in tallies)
    return Comparison(
        sum(tally.answers for tally in tallies),
        bad,
        expected,
        (bad - expected) / math.sqrt(variance + 1),
        route,
        variance,
    )


def _worst_upstream(summary: Summary, route: str) -> str:
    excess: Counter[str] = Counter()
    for (of_route, upstream), tally in summary.tallies.items():
        if not route or of_route == route:
            excess[upstream] += tally.bad
    return max(excess, key=lambda name: excess[name])


def _is_slow(evidence: Evidence, answer: Answer, now: float) -> bool:
    times = evidence.references.get((answer.route, answer.phase), ())
    if answer.seconds is None or len(times) < MIN_REFERENCE_ANSWERS:
        return False
    if answer.is_new and _may_be_cold(evidence, answer.upstream, now):
        return False
    # Imported only here, since it takes 2 in 100 of the time of a start.
    statistics = importlib.import_module('statistics')
    return bool(answer.seconds > SLOW_FACTOR * statistics.median(times))


def _may_be_cold(evidence: Evidence, upstream: str, now: float) -> bool:
    if evidence.counted[upstream] < COLD_ANSWERS:
        return True
    return now < evidence.first_at[upstream] + COLD_SECONDS
