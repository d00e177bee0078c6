"""Roll-outs as the grants of this relay show them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_dispatch import Ending, RolloutCounts
from gypsumrelay_rollouts import Report, Totals

from gypsumrelay_relay.rollouts.messages import RolloutReported

if TYPE_CHECKING:
    from gypsumrelay_relay.placement import Placement

BAD_ENDINGS: Final = frozenset((Ending.failed, Ending.lost, Ending.crashed))


@attrs.define
class KnownRollout:
    """What this relay knows of the roll-out of a service.

    Attributes:
        counts: The highest counts that a grant of this relay stated.
        own: Sends of this relay to the version.
        answers: Answers of the version to this relay.
        bad: Failures among them.
        uncounted: The same two figures for the answers that the present
            coordinator has not counted itself.
        earlier: What earlier coordinators had judged.
        granted: Running placements at the version that the present
            coordinator granted, and whose ends it counts.
    """

    counts: RolloutCounts
    own: int = 0
    answers: int = 0
    bad: int = 0
    uncounted: tuple[int, int] = (0, 0)
    earlier: Totals = attrs.field(factory=Totals)
    granted: set[tuple[str, int]] = attrs.field(factory=set)


@attrs.define(eq=False)
class RolloutHistory:
    """The roll-outs that this relay reports to a new coordinator.

    Attributes:
        known: The last roll-out of each service.
        coordinator: Name and incarnation of the present coordinator.
    """

    known: dict[str, KnownRollout] = attrs.field(factory=dict)
    coordinator: str = ''

    def record_grant(self, placement: Placement, coordinator: str) -> None:
        """Record a placement that a coordinator granted this relay.

        Args:
            placement: The placement.
            coordinator: Name and incarnation of the coordinator.
        """
        self._follow(coordinator)
        counts = placement.rollout
        if counts is None:
            return
        service = placement.request.service
        known = self.known.get(service)
        if known is None or known.counts.version != counts.version:
            known = KnownRollout(counts)
            self.known[service] = known
        known.counts = RolloutCounts(
            counts.version,
            max(known.counts.requests, counts.requests),
            max(known.counts.sent, counts.sent),
            known.counts.totals.highest(counts.totals),
            known.counts.is_partial and counts.is_partial,
        )
        if placement.version == counts.version:
            known.own += len(placement.upstreams)
            known.granted.add(placement.request.key)

    def record_end(self, placement: Placement, ending: Ending) -> None:
        """Record the end of an attempt at an upstream of the new version."""
        known = self.known.get(placement.request.service)
        if known is None or placement.version != known.counts.version:
            return
        is_counted = placement.request.key in known.granted
        known.granted.discard(placement.request.key)
        if ending is not Ending.answered and ending not in BAD_ENDINGS:
            return
        is_bad = ending in BAD_ENDINGS
        known.answers += 1
        known.bad += is_bad
        if not is_counted:
            answers, bad = known.uncounted
            known.uncounted = (answers + 1, bad + is_bad)

    def reports(
        self, entry: str, coordinator: str
    ) -> Iterator[RolloutReported]:
        """Yield a report for each service.

        A coordinator that this relay has reconnected to is told only of the
        answers that it has not counted itself.

        Args:
            entry: Name of this relay.
            coordinator: Name and incarnation of the coordinator.
        """
        self._follow(coordinator)
        for service, known in self.known.items():
            counts = known.counts
            report = Report(
                service,
                counts.version,
                counts.requests,
                max(known.own, counts.sent),
                *known.uncounted,
                known.earlier,
                counts.is_partial,
            )
            yield RolloutReported(entry, report)

    def _follow(self, coordinator: str) -> None:
        """Begin the term of a coordinator.

        One that coordinates again after another one has dropped its counts.
        """
        if coordinator == self.coordinator:
            return
        self.coordinator = coordinator
        for known in self.known.values():
            known.uncounted = (known.answers, known.bad)
            known.earlier = known.counts.totals
            known.granted.clear()
