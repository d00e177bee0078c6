"""Time of a unit of work as a function of the work that runs beside it."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

# Length in seconds of the spans whose mean times are compared.
SPAN_SECONDS: Final = 0.3
# Seconds whose spans determine the present level: five of the 600 ms in which
# an upstream may be slow for a moment.
WINDOW_SECONDS: Final = 3.0
# Quantile of the spans that is the present level. A level rises only when two
# thirds of the window are slow: with 15 in 100 of five spans of 600 ms slow,
# that happens by chance in 0.2 % of the windows; for the median in 2.7 %.
LEVEL_QUANTILE: Final = 0.35
# Spans of time with comparisons until the effect of a number of concurrent
# requests counts as known. Five spans outlast two slow moments of 600 ms.
MATURE_SPANS: Final = 5
# Weight of a new span in the known effect of a number of concurrent requests,
# and the number of spans that this weight amounts to.
SHAPE_SMOOTHING: Final = 0.05
SHAPE_SPANS: Final = 39
# Seconds within which times at two numbers of concurrent requests are
# compared. A change of the upstream in between would look like an effect of
# the load; slow moments take 600 ms.
COMPARABLE_SECONDS: Final = 0.5
# Weight of a new sample in the mean of the newest ones.
NEWEST_SMOOTHING: Final = 0.3
# Time constants in seconds with which the usual level follows a higher and a
# lower present level.
RISE_SECONDS: Final = 20.0
FALL_SECONDS: Final = 2.0
# Longest time in seconds that one update of the usual level accounts for.
MAX_STEP_SECONDS: Final = 1.0
# Time constant in seconds with which the level of an upstream without
# measurements returns to its usual one.
FORGET_SECONDS: Final = 5.0
# Numbers of concurrent requests up to this one are distinguished; greater ones
# are grouped by a constant ratio.
EXACT_RUNNING: Final = 8
GROUPS_PER_DOUBLING: Final = 4
# Bound of the logarithm of the time relative to that at fewer concurrent
# requests, against outliers: a factor of twenty.
MAX_LOG_SHAPE: Final = 3.0


@attrs.define
class Span:
    """Sum and number of the samples of a span of time."""

    started_at: float
    total: float = 0
    count: int = 0


@attrs.define
class Point:
    """Effect of a number of concurrent requests.

    Attributes:
        running: Number of concurrent requests that it stands for.
        initial: Shape before the first comparison.
        log_shape: Mean logarithm of the time relative to that at fewer
            concurrent requests, over spans of time.
        variance: Variance of this logarithm between spans.
        spans: Number of these spans.
        span: Logarithms of the comparisons in the present span.
        seen_at: Instant of the newest sample.
        newest: Mean logarithm of the newest samples relative to the shape.
    """

    running: float
    initial: float
    log_shape: float = 0
    variance: float = 0
    spans: int = 0
    span: Span | None = None
    seen_at: float = float('-inf')
    newest: float = 0

    @property
    def shape(self) -> float:
        """Return the time relative to the level of the curve."""
        return math.exp(self.log_shape) if self.spans else self.initial

    @property
    def is_mature(self) -> bool:
        """Return whether the shape rests on enough spans."""
        return self.spans >= MATURE_SPANS

    @property
    def log_error(self) -> float:
        """Return the standard error of the logarithm of the shape."""
        if not self.spans:
            return 0
        return math.sqrt(self.variance / min(self.spans, SHAPE_SPANS))


@attrs.define
class Curve:
    """Time of a unit of work by the number of concurrent requests.

    The time is the product of a level, which follows changes of the upstream
    within seconds, and of a shape, which states the effect of the load.

    Attributes:
        points: Shape, by group of numbers of concurrent requests.
        spans: Samples of the last seconds, relative to the shape.
        level: Present level; 0 without a measurement.
        usual: Level of the recent past.
        usual_at: Instant of the last update of the usual level.
        first_at: Instant of the first sample.
        sampled_at: Instant of the newest sample.
        peak: Recent maximum of concurrent requests.
        restored: Samples behind a level that other instances measured.
        comparable_seconds: Seconds within which times at two numbers of
            concurrent requests are compared.
    """

    points: dict[int, Point] = attrs.field(factory=dict)
    spans: deque[Span] = attrs.field(factory=deque)
    level: float = 0
    usual: float = 0
    usual_at: float = 0
    first_at: float = 0
    sampled_at: float = float('-inf')
    peak: float = 0
    restored: float = 0
    comparable_seconds: float = COMPARABLE_SECONDS

    @property
    def is_measured(self) -> bool:
        """Return whether any time is known."""
        return self.level > 0


def group_of(running: float) -> int:
    """Return the group of a number of concurrent requests."""
    if running <= EXACT_RUNNING:
        return max(1, round(running))
    doublings = math.log2(running / EXACT_RUNNING)
    return EXACT_RUNNING + max(1, round(doublings * GROUPS_PER_DOUBLING))


def running_of(group: int) -> float:
    """Return the number of concurrent requests that a group stands for."""
    if group <= EXACT_RUNNING:
        return group
    doublings = (group - EXACT_RUNNING) / GROUPS_PER_DOUBLING
    return float(EXACT_RUNNING * 2**doublings)


def observe(curve: Curve, running: float, measured: float, now: float) -> None:
    """Add a measured time.

    Args:
        curve: The curve.
        running: Concurrent requests at the upstream, with the measured one.
        measured: Time of a unit of work.
        now: The present instant.
    """
    if measured <= 0 or not math.isfinite(measured):
        return
    group = group_of(running)
    point = curve.points.get(group)
    if point is None:
        point = Point(running_of(group), shape_at(curve, running))
        curve.points[group] = point
    reference = _log_reference(curve, group, now)
    if reference is not None:
        _compare(point, math.log(measured) - reference, now)
    if point.is_mature or reference is None:
        _add_to_level(curve, measured / point.shape, now)
    is_recent = now - point.seen_at <= curve.comparable_seconds
    _note_newest(
        point, math.log(measured / point.shape), now, is_recent=is_recent
    )
    elapsed = max(0, now - curve.sampled_at)
    faded = curve.peak * math.exp(-elapsed / RISE_SECONDS)
    curve.peak = max(running, faded)
    curve.sampled_at = now
    _follow(curve, now)


def settle(curve: Curve, now: float) -> None:
    """Let the level of a curve without new samples return to the usual one.

    An upstream that was slow gets no work while others suffice, so that
    nothing else would show that it has recovered.
    """
    if curve.is_measured and now - curve.sampled_at > WINDOW_SECONDS:
        step = min(MAX_STEP_SECONDS, max(0, now - curve.usual_at))
        part = 1 - math.exp(-step / FORGET_SECONDS)
        curve.level += part * (curve.usual - curve.level)
        curve.usual_at = now


def restore(curve: Curve, level: float, samples: int) -> None:
    """Add a level that another instance measured.

    Measurements of this instance have precedence.
    """
    if level <= 0 or samples <= 0 or curve.points:
        return
    total = curve.restored + samples
    curve.level += (level - curve.level) * samples / total
    curve.usual = curve.level
    curve.restored = total


def time_at(curve: Curve, running: float) -> float:
    """Return the expected time of a unit of work; 0 where unknown.

    Args:
        curve: The curve.
        running: Concurrent requests, with the one in question.
    """
    return curve.level * shape_at(curve, running)


def shape_at(curve: Curve, running: float) -> float:
    """Return the shape at a number of concurrent requests.

    It is interpolated between the known ones, and that of the nearest one
    beyond them.
    """
    known = curve.points.values()
    below = [point for point in known if point.running <= running]
    above = [point for point in known if point.running > running]
    low = max(below, key=_running, default=None)
    high = min(above, key=_running, default=low)
    if low is None or high is None:
        return high.shape if high else 1
    if low is high:
        return low.shape
    part = (running - low.running) / (high.running - low.running)
    return low.shape + part * (high.shape - low.shape)


def _running(point: Point) -> float:
    return point.running


def window_samples(curve: Curve, now: float) -> int:
    """Return the number of samples that the present level rests on."""
    return sum(
        span.count
        for span in curve.spans
        if span.started_at > now - WINDOW_SECONDS
    )


def _add_to_level(curve: Curve, sample: float, now: float) -> None:
    spans = curve.spans
    if not spans or now >= spans[-1].started_at + SPAN_SECONDS:
        spans.append(Span(now))
    spans[-1].total += sample
    spans[-1].count += 1
    while spans[0].started_at <= now - WINDOW_SECONDS:
        spans.popleft()
    means = sorted(span.total / span.count for span in spans)
    curve.level = means[int(LEVEL_QUANTILE * len(means))]


def _log_reference(curve: Curve, group: int, now: float) -> float | None:
    """Return the logarithm of the level at fewer requests, if known now."""
    newest = [
        point.newest
        for lower, point in curve.points.items()
        if lower < group and now - point.seen_at <= curve.comparable_seconds
    ]
    return sum(newest) / len(newest) if newest else None


def _compare(point: Point, log_ratio: float, now: float) -> None:
    """Add a comparison with fewer concurrent requests."""
    span = point.span
    if span is not None and now >= span.started_at + SPAN_SECONDS:
        _fold(point, span.total / span.count)
        span = None
    if span is None:
        span = Span(now)
        point.span = span
    span.total += min(MAX_LOG_SHAPE, max(-MAX_LOG_SHAPE, log_ratio))
    span.count += 1


def _fold(point: Point, log_ratio: float) -> None:
    """Add the mean comparison of a span, which is correlated in itself."""
    point.spans += 1
    weight = max(SHAPE_SMOOTHING, 1 / point.spans)
    difference = log_ratio - point.log_shape
    point.log_shape += weight * difference
    point.variance = (1 - weight) * (point.variance + weight * difference**2)


def _note_newest(
    point: Point, sample: float, now: float, *, is_recent: bool
) -> None:
    """Average the samples that are recent enough for a comparison."""
    weight = NEWEST_SMOOTHING if is_recent else 1
    point.newest += weight * (sample - point.newest)
    point.seen_at = now


def _follow(curve: Curve, now: float) -> None:
    if curve.usual <= 0:
        curve.usual = curve.level
        curve.first_at = now
    step = min(MAX_STEP_SECONDS, max(0, now - curve.usual_at))
    is_slower = curve.level > curve.usual
    constant = FALL_SECONDS
    if is_slower:
        # The first samples are too few for a past to compare with.
        age = now - curve.first_at
        constant = min(RISE_SECONDS, max(FALL_SECONDS / 4, age / 2))
    part = 1 - math.exp(-step / constant)
    curve.usual += part * (curve.level - curve.usual)
    curve.usual_at = now
