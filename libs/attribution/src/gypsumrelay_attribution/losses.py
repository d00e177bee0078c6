"""Lost connections, which become crashes once these are certain.

A lost connection alone shows no crash: connections are also reset for other
reasons.
"""

from __future__ import annotations

from typing import Final

import attrs

from gypsumrelay_attribution.history import (
    AttributionLimits,
    Content,
    Crash,
    CrashHistory,
    merge_crash,
    same_crash,
)

# Seconds within which a crash is confirmed: a crashed upstream leaves the
# list after three missed heartbeats.
CONFIRM_SECONDS: Final = 6.0
# Bounds the memory; the oldest loss is evicted first.
MAX_LOSSES: Final = 4096


@attrs.frozen
class Loss:
    """A connection that was lost while an upstream ran a content.

    Attributes:
        upstream: Name of the upstream.
        content: The content.
        began: Whether the upstream had sent an event of the answer.
        at: Instant of the loss.
    """

    upstream: str
    content: Content
    began: bool
    at: float


@attrs.define(eq=False)
class PendingLosses:
    """Losses whose upstream may still be alive."""

    losses: list[Loss] = attrs.field(factory=list)


def record_loss(
    pending: PendingLosses,
    history: CrashHistory,
    loss: Loss,
    limits: AttributionLimits,
    now: float,
) -> None:
    """Record a loss; one of a known crash is added to that crash."""
    if same_crash(history, loss.upstream, loss.at) is not None:
        merge_crash(history, _crash((loss,)), limits, now)
        return
    recent = [one for one in pending.losses if _is_recent(one, now)]
    pending.losses = [*recent, loss][-MAX_LOSSES:]


def confirm_crash(
    pending: PendingLosses,
    history: CrashHistory,
    upstream: str,
    limits: AttributionLimits,
    now: float,
) -> None:
    """Turn the recent losses of an upstream into a crash."""
    own = _take_losses(pending, upstream)
    recent = tuple(loss for loss in own if _is_recent(loss, now))
    if recent:
        merge_crash(history, _crash(recent), limits, now)


def confirm_alive(
    pending: PendingLosses, upstream: str, started_at: float
) -> None:
    """Drop the losses before the start of a run that an upstream completed."""
    pending.losses.extend(
        loss
        for loss in _take_losses(pending, upstream)
        if loss.at >= started_at
    )


def _take_losses(pending: PendingLosses, upstream: str) -> list[Loss]:
    own = [loss for loss in pending.losses if loss.upstream == upstream]
    if own:
        pending.losses = [
            loss for loss in pending.losses if loss.upstream != upstream
        ]
    return own


def _is_recent(loss: Loss, now: float) -> bool:
    return now - loss.at < CONFIRM_SECONDS


def _crash(losses: tuple[Loss, ...]) -> Crash:
    crash = Crash(losses[0].upstream, min(loss.at for loss in losses))
    for loss in losses:
        crash.add(loss.content, began=loss.began)
    return crash
