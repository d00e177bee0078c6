"""Rejection of contents and parts that crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gypsumrelay_attribution.history import refresh_causes

if TYPE_CHECKING:
    from gypsumrelay_attribution.causes import Cause
    from gypsumrelay_attribution.history import (
        AttributionLimits,
        Content,
        CrashHistory,
    )


@attrs.frozen
class Admission:
    """Whether a request may run.

    Attributes:
        rejected_until: Instant before which it is rejected; None to admit it.
        is_part: Whether a part of its prompt is the reason.
        is_trial: Whether it is admitted to find out if it still crashes
            upstreams.
    """

    rejected_until: float | None = None
    is_part: bool = False
    is_trial: bool = False


def admit(
    history: CrashHistory,
    content: Content,
    limits: AttributionLimits,
    now: float,
) -> Admission:
    """Return whether a request may run now."""
    refresh_causes(history, limits, now)
    rejected_until = history.rejected.get(content.digest, now)
    # Known crashes say more than the rejection that followed from them.
    if rejected_until > now and content.digest not in history.suspected_at:
        return Admission(rejected_until)
    causes = _causes_of(history, content)
    if not causes:
        return Admission()
    until = max(_trial_at(history, cause) for cause in causes)
    is_part = any(cause.is_part for cause in causes)
    if until > now:
        return Admission(until, is_part)
    return Admission(is_trial=True)


def start_trial(
    history: CrashHistory,
    content: Content,
    limits: AttributionLimits,
    now: float,
) -> None:
    """Record that a request runs as a trial; others with its parts wait."""
    for cause in _causes_of(history, content):
        history.trials[cause.subject] = now + limits.trial_seconds


def _causes_of(history: CrashHistory, content: Content) -> list[Cause]:
    if not history.causes:
        return []
    found = (history.causes.get(subject) for subject in content.subjects)
    return [cause for cause in found if cause is not None]


def _trial_at(history: CrashHistory, cause: Cause) -> float:
    return max(cause.trial_at, history.trials.get(cause.subject, 0))
