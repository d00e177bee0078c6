"""Messages to the coordinator about roll-outs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_rollouts import (
    Bounds,
    Change,
    Report,
    Rollouts,
    Status,
    Totals,
    apply_report,
    apply_statuses,
    mark_written,
    set_leading,
    unwritten_statuses,
)
from gypsumrelay_wire import RolloutUsed

if TYPE_CHECKING:
    from gypsumrelay_settings import RolloutSettings


@attrs.frozen
class RolloutReported:
    """A relay reports a roll-out under earlier coordinators."""

    entry: str
    report: Report


@attrs.frozen
class LeadershipChanged:
    """This relay began or ceased to coordinate."""

    is_leading: bool


@attrs.frozen
class StatusesRead:
    """The statuses of roll-outs were read from the store.

    Attributes:
        statuses: The statuses, by service.
        unix_seconds: Unix time of the read.
    """

    statuses: Mapping[str, Status]
    unix_seconds: float


@attrs.frozen
class StoreAnswered:
    """The store answered, so that statuses can be written."""


@attrs.frozen
class StatusWritten:
    """The store has a status."""

    status: Status


@attrs.frozen
class TakeRolloutWork:
    """Requests the changes to log and the statuses to write."""


@attrs.frozen
class RolloutWork:
    """What is to be done outside the coordinator.

    Attributes:
        changes: Changes that have not been logged.
        unwritten: Statuses that the store lacks, with their deadlines.
        figures: Figures of the roll-outs, by service and name.
        is_running: Whether a roll-out is running.
    """

    changes: tuple[Change, ...]
    unwritten: tuple[tuple[Status, float], ...]
    figures: Mapping[str, Mapping[str, float]]
    is_running: bool


MS_PER_SECOND: Final = 1000

ROLLOUT_UPDATES: Final = (
    RolloutReported,
    LeadershipChanged,
    StatusesRead,
    StoreAnswered,
    StatusWritten,
)

RolloutMessage = (
    RolloutReported
    | LeadershipChanged
    | StatusesRead
    | StoreAnswered
    | StatusWritten
)


def bounds_of(settings: RolloutSettings) -> Bounds:
    """Return the bounds that the settings state."""
    return Bounds(
        settings.expose_share,
        settings.expose_slack,
        settings.enabled,
        settings.rollback_ms / MS_PER_SECOND,
    )


def apply_rollout_message(
    rollouts: Rollouts, message: RolloutMessage, now: float
) -> None:
    """Apply a message to the coordinator's roll-outs."""
    match message:
        case RolloutReported(entry, report):
            apply_report(rollouts, entry, report)
        case LeadershipChanged(is_leading):
            set_leading(rollouts, is_leading=is_leading)
        case StatusesRead(statuses, unix_seconds):
            rollouts.store_seen_at = now
            apply_statuses(rollouts, statuses, now - unix_seconds)
        case StoreAnswered():
            rollouts.store_seen_at = now
        case StatusWritten(status):
            rollouts.store_seen_at = now
            mark_written(rollouts, status)


def take_rollout_work(rollouts: Rollouts) -> RolloutWork:
    """Return what is to be logged and written, and forget what to log."""
    changes = tuple(rollouts.changes)
    rollouts.changes.clear()
    running = {
        service: rollout
        for service, rollout in rollouts.current.items()
        if not rollout.is_final
    }
    figures = {
        service: {
            'share': rollout.share,
            'requests': rollout.exposure.requests,
            'sent': rollout.exposure.sent,
            'suspects': len(rollout.suspects),
        }
        for service, rollout in running.items()
    }
    return RolloutWork(
        changes, tuple(unwritten_statuses(rollouts)), figures, bool(running)
    )


def report_from_wire(message: RolloutUsed, entry: str) -> RolloutReported:
    """Return the report in a message from another relay."""
    report = Report(
        message.service,
        message.version,
        max(0, message.requests),
        max(0, message.sent),
        max(0, message.answers),
        max(0, message.bad),
        Totals(
            max(0, message.slow),
            max(0, message.old_answers),
            max(0, message.old_slow),
            max(0, message.old_failed),
        ),
        message.partial,
    )
    return RolloutReported(entry, report)


def report_to_wire(report: Report) -> RolloutUsed:
    """Return the message that reports a roll-out to a coordinator."""
    totals = report.totals
    return RolloutUsed(
        report.service,
        report.version,
        report.requests,
        report.sent,
        report.answers,
        report.bad,
        totals.slow,
        totals.old_answers,
        totals.old_slow,
        totals.old_failed,
        report.is_partial,
    )
