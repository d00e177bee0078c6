"""State of one roll-out."""

from __future__ import annotations

import enum
from collections import deque
from typing import Final

import attrs

from gypsumrelay_rollouts.evidence import Comparison, Evidence, Summary
from gypsumrelay_rollouts.exposure import Exposure
from gypsumrelay_rollouts.orders import Order, State, Status
from gypsumrelay_rollouts.traffic import Traffic

# Requests of the old version whose times are kept: at 12 requests a second
# those of ten seconds, so that a fault that has passed does not lengthen the
# time for draining.
KEPT_DURATIONS: Final = 128


class Stage(enum.Enum):
    """Stage of a roll-out.

    `ordered`: not checked yet. `canary`: the new version gets a bounded number
    of requests. `raising`: it gets a rising share. `draining`: it gets all new
    requests, and what runs at the old version ends. The others are final.
    """

    ordered = 'ordered'
    canary = 'canary'
    raising = 'raising'
    draining = 'draining'
    completed = 'completed'
    reverted = 'reverted'
    refused = 'refused'


FINAL_STAGES: Final = frozenset(
    (Stage.completed, Stage.reverted, Stage.refused)
)
TRIAL_STAGES: Final = frozenset((Stage.canary, Stage.raising, Stage.draining))


@attrs.frozen
class Situation:
    """What the coordinator sees of a service when it decides.

    Attributes:
        running_old: Requests that run at upstreams of other versions, or wait
            for them.
        is_ready: Whether the new version has an upstream for each phase that
            the old one has.
        alternatives: Upstreams of the new version beside which there is
            another one of their phase.
        store_available: Whether the store answers.
    """

    running_old: int
    is_ready: bool
    alternatives: frozenset[str]
    store_available: bool = True


@attrs.define
class Rollout:
    """State of a roll-out.

    Attributes:
        order: The order.
        deadline: Instant of its deadline.
        stage: The present stage.
        changed_at: Instant of the last change of stage or share.
        share: Share of the requests that the new version gets after the
            canary.
        granted: Requests since the last change, all and new.
        exposure: Requests since the order.
        evidence: Answers since the order.
        failures: The same without times, whose noise may hide failures.
        summary: The evidence at the last judgement.
        suspects: New upstreams that alone are bad, and get nothing more.
        in_doubt: Whether the new version may be worse than the old one.
        is_suspicious: Whether an answer was bad that a good version rarely
            gives.
        is_failing: Whether that was a failure.
        judged_at: Instant of the last judgement.
        durations: Times in seconds of the old version's last requests.
        traffic: Recent requests of the service.
        rollback_at: Instant at which a version whose bad answers exceed the
            expectation by many is reverted, unless it is exonerated.
        is_paused: Whether the canary waits for its allowance.
        is_trusted: Whether the order takes back one on trial.
        former: The roll-out that the order replaced before its end, until the
            order is checked.
        refusal: Why the order was refused, or a later one.
        is_refusal_noted: Whether the refusal of a later order was logged.
        written: The status that the store has.
    """

    order: Order
    deadline: float
    stage: Stage = Stage.ordered
    changed_at: float = float('-inf')
    share: float = 0
    granted: tuple[int, int] = (0, 0)
    exposure: Exposure = attrs.field(factory=Exposure)
    evidence: Evidence = attrs.field(factory=Evidence)
    failures: Evidence = attrs.field(factory=Evidence)
    summary: Summary = attrs.field(factory=Summary)
    suspects: frozenset[str] = frozenset()
    in_doubt: bool = False
    is_suspicious: bool = False
    is_failing: bool = False
    judged_at: float = float('-inf')
    durations: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_DURATIONS)
    )
    traffic: Traffic = attrs.field(factory=Traffic)
    rollback_at: float = float('inf')
    is_paused: bool = False
    is_trusted: bool = False
    former: Rollout | None = None
    refusal: str = ''
    is_refusal_noted: bool = False
    written: Status | None = None

    @property
    def longest_seconds(self) -> float:
        """Return the longest of the old version's last requests."""
        return max(self.durations, default=0)

    @property
    def versions(self) -> frozenset[str]:
        """Return the ordered version, and that of a replaced order."""
        former = self.former
        known = frozenset((self.order.version,))
        return known if former is None else known | former.versions

    @property
    def is_final(self) -> bool:
        """Return whether the roll-out has ended."""
        return self.stage in FINAL_STAGES

    @property
    def is_on_trial(self) -> bool:
        """Return whether the new version may get requests."""
        return self.stage in TRIAL_STAGES


@attrs.frozen
class Change:
    """A change of stage or share, with the evidence that led to it."""

    order: Order
    before: Stage
    stage: Stage
    share: float
    reason: str
    comparison: Comparison
    requests: int
    sent: int


def status_of(rollout: Rollout) -> Status:
    """Return the status of a roll-out for the operator."""
    order = rollout.order
    state = State.running
    if rollout.stage is Stage.completed:
        state = State.completed
    elif rollout.is_final:
        state = State.reverted
    return Status(
        order.service,
        order.version,
        state,
        order.duration_seconds,
        refusal=rollout.refusal,
        takes_back=rollout.is_trusted,
    )
