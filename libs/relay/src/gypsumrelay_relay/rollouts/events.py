"""Log events of roll-outs."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import attrs

from gypsumrelay_relay.events.state import StateChange

if TYPE_CHECKING:
    from gypsumrelay_rollouts import Change

DECIMALS = 2


@attrs.frozen
class RolloutChanged(StateChange):
    """A roll-out changed its stage or share.

    Attributes:
        service: The service.
        version: The ordered version.
        before: Former stage.
        stage: Present stage.
        share: Share of the requests that the version gets after the canary.
        reason: Why the stage or share changed.
        route: Route with the strongest evidence; empty for all together.
        answers: Answers of the version that were compared.
        bad: Failed or slow ones among them.
        expected: Failed or slow ones if the version were like the old one.
        score: Excess in standard deviations.
        requests: Requests of the service since the order.
        sent: Sends to the version.
    """

    event: ClassVar[str] = 'rollout_changed'
    template: ClassVar[str] = (
        'Roll-out of {service} to {version}: {before} -> {stage}, {reason}.'
    )

    service: str
    version: str
    before: str
    stage: str
    share: float
    reason: str
    route: str
    answers: int
    bad: int
    expected: float
    score: float
    requests: int
    sent: int


@attrs.frozen
class StatusNotWritten(StateChange):
    """The status of a roll-out could not be written; it is tried again."""

    event: ClassVar[str] = 'rollout_status_not_written'
    severity: ClassVar[str] = 'WARNING'
    template: ClassVar[str] = (
        'Status {state} of the roll-out of {service} not written: {reason}.'
    )

    service: str
    state: str
    reason: str


def change_event(change: Change) -> RolloutChanged:
    """Return the log event of a change."""
    found = change.comparison
    return RolloutChanged(
        change.order.service,
        change.order.version,
        change.before.value,
        change.stage.value,
        change.share,
        change.reason,
        found.route,
        found.answers,
        found.bad,
        round(found.expected, DECIMALS),
        round(found.score, DECIMALS),
        change.requests,
        change.sent,
    )
