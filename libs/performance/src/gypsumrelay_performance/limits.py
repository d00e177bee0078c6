"""Limits on the concurrent work of upstreams, adjusted to measurements.

A limit follows the gradient of an upstream's time: against its own past and
its pool, and by the work that runs there.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

import attrs

from gypsumrelay_performance.curves import (
    MATURE_SPANS,
    Curve,
    Point,
    settle,
    window_samples,
)
from gypsumrelay_performance.measurements import Performance

# Seconds between two adjustments of a limit.
ADJUST_SECONDS: Final = 0.5
# Slowdown of an upstream, relative to its past and its pool, that lowers no
# limit.
TOLERANCE: Final = 1.5
# Part of the concurrent requests that a slow upstream keeps at least. It is
# used only when faster ones are full; a lower limit then costs throughput.
MIN_SLOW_SHARE: Final = 0.5
# Samples in the window below which a slowdown lowers no limit.
MIN_WINDOW_SAMPLES: Final = 8
# Spans in the window below which a slowdown lowers no limit; a cold start or a
# slow moment is shorter.
MIN_SPANS: Final = 5
# Part of a request's proportional gain in throughput that further concurrent
# requests have to bring.
MIN_GAIN: Final = 0.25
# Ratio of the numbers of concurrent requests whose throughput is compared.
# With neighbouring numbers, an error of 15 in 100 in a time would decide.
MIN_DISTANCE: Final = 1.5
# Standard errors by which a measured time has to be too long.
CERTAINTY: Final = 2.0
# Seconds after which a number of concurrent requests that was too high is
# tried again.
RETRY_SECONDS: Final = 10.0
# Parts of a limit by which one adjustment lowers or raises it at most.
MAX_FALL: Final = 0.5
MAX_RISE: Final = 0.1


@attrs.frozen
class Candidate:
    """An upstream whose limit is adjusted, with its stated slots."""

    performance: Performance
    stated: int


@attrs.frozen
class LimitChange:
    """A changed limit.

    Attributes:
        upstream: Name of the upstream.
        before: Previous limit.
        after: New limit.
        stated: Slots that the upstream states.
        slowdown: Time relative to the upstream's past and its pool.
    """

    upstream: str
    before: int
    after: int
    stated: int
    slowdown: float


def concurrency_limit(performance: Performance, stated: int) -> int:
    """Return the limit on concurrent requests.

    It is never above the stated slots, and admits at least one request, so
    that no upstream is shut out and each of them is measured again.
    """
    if performance.limit >= stated:
        return stated
    return min(stated, max(1, int(performance.limit)))


def adjust_limits(
    pool: Mapping[str, Candidate], now: float
) -> list[LimitChange]:
    """Adjust the limits of a service's upstreams that do the same work.

    Args:
        pool: The upstreams, by name.
        now: The present instant.

    Returns:
        The limits that have changed.
    """
    due = {
        name: candidate
        for name, candidate in pool.items()
        if now - candidate.performance.adjusted_at >= ADJUST_SECONDS
    }
    if not due:
        return []
    for candidate in due.values():
        settle(active_curve(candidate.performance), now)
    pool_slowdown = _pool_slowdown(pool, now)
    changes = []
    for name, candidate in due.items():
        change = _adjust(name, candidate, pool_slowdown, now)
        if change is not None:
            changes.append(change)
    return changes


def active_curve(performance: Performance) -> Curve:
    """Return the curve of the kind of work that an upstream does."""
    service, decode = performance.service, performance.decode
    return service if service.sampled_at > decode.sampled_at else decode


def _pool_slowdown(pool: Mapping[str, Candidate], now: float) -> float:
    """Return the slowdown that most upstreams of the pool have in common."""
    measured = [active_curve(one.performance) for one in pool.values()]
    slowdowns = [
        curve.level / curve.usual
        for curve in measured
        if curve.usual > 0 and window_samples(curve, now)
    ]
    # Without `statistics`, whose import delays the start of a process.
    median = sorted(slowdowns)[(len(slowdowns) - 1) // 2] if slowdowns else 1
    return max(1, median)


def _adjust(
    name: str, candidate: Candidate, pool_slowdown: float, now: float
) -> LimitChange | None:
    performance, stated = candidate.performance, candidate.stated
    before = concurrency_limit(performance, stated)
    curve = active_curve(performance)
    _doubt_tried(curve, before, now)
    slowdown = _slowdown(curve, now) / pool_slowdown
    wanted = _wanted_limit(performance, curve, stated, slowdown)
    current = min(performance.limit, stated)
    highest = current + max(1, current * MAX_RISE)
    performance.limit = max(1, current * MAX_FALL, min(highest, wanted))
    performance.adjusted_at = now
    after = concurrency_limit(performance, stated)
    if after == before:
        return None
    return LimitChange(name, before, after, stated, slowdown)


def _wanted_limit(
    performance: Performance, curve: Curve, stated: int, slowdown: float
) -> float:
    useful = min(stated, _useful_running(curve))
    if slowdown <= TOLERANCE:
        performance.peak = max(1, curve.peak)
        return useful
    share = max(MIN_SLOW_SHARE, TOLERANCE / slowdown)
    return min(useful, performance.peak * share)


def _slowdown(curve: Curve, now: float) -> float:
    """Return the level relative to the past; 1 with too few samples."""
    is_known = (
        curve.usual > 0
        and len(curve.spans) >= MIN_SPANS
        and window_samples(curve, now) >= MIN_WINDOW_SAMPLES
    )
    return curve.level / curve.usual if is_known else 1


def _useful_running(curve: Curve) -> float:
    """Return the concurrent requests beyond which throughput hardly rises."""
    known = [curve.points[group] for group in sorted(curve.points)]
    useful: float = 0
    for point in known:
        if useful and point.is_mature and _is_useless(known, point):
            return useful
        useful = point.running
    return math.inf


def _is_useless(known: list[Point], point: Point) -> bool:
    """Return whether further requests up to a number bring no throughput.

    The errors of the measured times count in favour of further requests.
    """
    running = point.running
    fastest = point.shape / math.exp(CERTAINTY * point.log_error)
    return any(
        running / fastest - other.running / _slowest(other)
        < MIN_GAIN * (running - other.running) / _slowest(other)
        for other in (*known[:1], *filter(_is_mature, known[1:]))
        if other.running * MIN_DISTANCE <= running
    )


def _is_mature(point: Point) -> bool:
    return point.is_mature


def _slowest(point: Point) -> float:
    return point.shape * math.exp(point.log_error)


def _doubt_tried(curve: Curve, limit: int, now: float) -> None:
    """Doubt times above the limit after a while, so that it rises again.

    Two spans then confirm or refute them.
    """
    for point in curve.points.values():
        is_above = point.running > limit
        if is_above and now - point.seen_at > RETRY_SECONDS:
            point.spans = min(point.spans, MATURE_SPANS - 2)
            point.span = None
