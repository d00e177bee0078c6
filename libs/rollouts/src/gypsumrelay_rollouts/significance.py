"""What few answers can show: the probability of bad ones by chance."""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from typing import Final

from gypsumrelay_rollouts.evidence import (
    CONFIRMING_SCORE,
    MIN_CONFIRMING,
    NOBODY,
    REPORTED_PREFIX,
    Comparison,
    Summary,
    compare,
    scopes,
)

# Probability below which bad answers are no chance. It is tested at each
# judgement while the share is raised, about 20 times with mostly the same
# answers.
CHANCE: Final = 0.01
# The same from which the canary gets more, so that it is settled.
SUSPICIOUS_CHANCE: Final = 0.1
# Least part of bad answers that is expected of a good version. A part that was
# never seen in some hundred answers may be this large.
LEAST_RATE: Final = 0.003
# Least part by which the variance exceeds the mean, for the distribution.
LEAST_EXCESS: Final = 0.001
# Bad answers that can show something; a single one may be a reset connection.
MIN_DOUBTFUL: Final = 2
# Score from which more answers than that are doubtful.
DOUBT_SCORE: Final = 3.0
# Bad answers up to which their exact distribution is used instead of the score.
FEW_BAD: Final = 20


def find_doubt(
    summary: Summary,
    failures: Summary,
    without: AbstractSet[str] = NOBODY,
) -> Comparison | None:
    """Return a comparison whose bad answers are no chance, if there is one.

    A few failures show something, a few slow answers do not: on a busy machine
    a good version had 9 of 43 where 2.8 were expected.

    Args:
        summary: The counted answers.
        failures: The same without times.
        without: Upstreams of the new version that are left out.
    """
    for route in scopes(summary):
        found = compare(summary, route, without)
        if found.score >= DOUBT_SCORE:
            return found
        failed = compare(failures, route, without)
        is_few = MIN_DOUBTFUL <= failed.bad <= FEW_BAD
        if is_few and chance(failed) < CHANCE:
            return failed
    return None


def is_confirmed(
    summary: Summary, route: str, without: AbstractSet[str]
) -> bool:
    """Return whether answers under this coordinator confirm reported ones.

    Relays report neither upstreams nor crashes, so that bad answers of a single
    upstream cannot be told from those of a bad version.

    Args:
        summary: The counted answers.
        route: The route that was found to be bad; empty for all.
        without: Upstreams of the new version that are left out.
    """
    names = {name for _, name in summary.tallies}
    reported = {name for name in names if name.startswith(REPORTED_PREFIX)}
    if not reported:
        return True
    found = compare(summary, route, reported | without)
    return found.bad >= MIN_CONFIRMING and found.score >= CONFIRMING_SCORE


def is_suspicious(summary: Summary, without: AbstractSet[str]) -> bool:
    """Return whether bad answers call for more evidence."""
    found = (compare(summary, route, without) for route in scopes(summary))
    return any(one.bad > 0 and chance(one) < SUSPICIOUS_CHANCE for one in found)


def chance(found: Comparison) -> float:
    """Return the probability that a good version gives as many bad answers.

    The negative binomial distribution with the mean and the variance of the
    expectation approximates it.
    """
    mean = max(found.expected, LEAST_RATE * found.answers)
    if not mean:
        return 1
    variance = max(found.variance, mean * (1 + LEAST_EXCESS))
    size = mean**2 / (variance - mean)
    part = mean / (size + mean)
    probability = (1 - part) ** size
    fewer: float = 0
    for bad in range(found.bad):
        fewer += probability
        probability *= part * (size + bad) / (bad + 1)
    return max(0, 1 - fewer)
