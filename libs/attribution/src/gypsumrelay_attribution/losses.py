"""Lost connections, which become crashes once these are certain.

A lost connection alone shows no crash: connections are also reset for other
reasons.
"""

from __future__ import annotations

from typing import Final

import attrs

from gypsumrelay_attribution.history import (
    Content,
    Crash,
    CrashHistory,
    join_crash,
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
        started_at: Instant at which the run started.
        at: Instant at which the loss was noticed.
    """

    upstream: str
    content: Content
    began: bool
    started_at: float
    at: float


@attrs.define(eq=False)
class PendingLosses:
    """Losses whose upstream may still be alive."""

    losses: list[Loss] = attrs.field(factory=list)


def record_loss(
    pending: PendingLosses,
    history: CrashHistory,
    loss: Loss,
    now: float,
) -> None:
    """Record a loss; one of a known crash is added to that crash."""
    if join_known_crash(history, loss):
        return
    recent = [one for one in pending.losses if _is_recent(one, now)]
    pending.losses = [*recent, loss][-MAX_LOSSES:]


def confirm_crash(
    pending: PendingLosses,
    history: CrashHistory,
    upstream: str,
    now: float,
) -> None:
    """Turn the recent losses of an upstream into a crash."""
    for loss in _take_losses(pending, upstream):
        if _is_recent(loss, now):
            record_crash(history, loss)


def record_crash(history: CrashHistory, loss: Loss) -> None:
    """Record the crash of an upstream that shows in a loss."""
    if not join_known_crash(history, loss):
        merge_crash(history, _crash(loss))


def join_known_crash(history: CrashHistory, loss: Loss) -> bool:
    """Add a loss to the crash that ended its run; return whether one did.

    Requests at a silent upstream time out one after the other, some of them
    long after the crash. All that had started before it ended with it.
    """
    known = same_crash(history, loss.upstream, loss.at) or next(
        (
            crash
            for crash in history.crashes
            if crash.upstream == loss.upstream and loss.started_at <= crash.at
        ),
        None,
    )
    if known is None:
        return False
    join_crash(history, known, _crash(loss))
    return True


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


def _crash(loss: Loss) -> Crash:
    crash = Crash(loss.upstream, loss.at)
    crash.add(loss.content, began=loss.began)
    return crash
