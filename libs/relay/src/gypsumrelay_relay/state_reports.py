"""What a relay reports to a new coordinator."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import attrs

from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.placement import own_placement
from gypsumrelay_relay.quarantine import drop_expired
from gypsumrelay_relay.usage_history import (
    drop_old_uses,
    retries_by_service,
    sends_by_upstream,
    tokens_by_account,
    transfer_uses,
)

if TYPE_CHECKING:
    from gypsumrelay_relay.coordination.client import Coordination


def state_reports(coordination: Coordination, now: float) -> Iterator[Any]:
    """Yield the messages that tell a new coordinator of the state.

    What upstreams state comes first, so that it applies to the first request of
    this relay. Needs the lock of `coordination`.
    """
    for name, departure in coordination.departures.items():
        yield messages.LeavingReported(name, departure.started_ms)
    own = coordination.name
    for name, pause in coordination.pauses.get(own, {}).items():
        if now < pause.until:
            yield messages.PauseReported(
                own, name, pause.started_ms, pause.until
            )
    limits = coordination.stated_limits.current()
    for upstream, per_second in limits.items():
        yield messages.RateLimitReported(upstream, per_second, is_new=False)
    for placement in coordination.active.values():
        yield messages.PlacementReported(own_placement(placement, now))
    yield from coordination.streams.reports(now)
    if coordination.settings.learn_performance:
        yield from coordination.measured.reports(now)
    yield from coordination.uses.rollouts.reports(
        coordination.name, coordination.leader_id
    )
    yield from _use_reports(coordination, now)
    yield from _crash_reports(coordination, now)


def _use_reports(coordination: Coordination, now: float) -> Iterator[Any]:
    settings = coordination.settings
    drop_old_uses(coordination.uses, settings, now)
    uses = transfer_uses(coordination.uses, coordination.leader_id)
    for report in retries_by_service(uses, settings, now):
        yield messages.RetriesReported(*attrs.astuple(report))
    for upstream, sent_at in sends_by_upstream(uses, now).items():
        yield messages.SendsReported(upstream, sent_at)
    for account, charges in tokens_by_account(uses).items():
        yield messages.ChargesReported(account, charges)


def _crash_reports(coordination: Coordination, now: float) -> Iterator[Any]:
    settings = coordination.settings
    yield from coordination.known_crashes.reports(settings, now)
    quarantine = coordination.quarantine
    drop_expired(quarantine, settings.blame_seconds, now)
    for digest, since in quarantine.since.items():
        yield messages.QuarantineReported(digest, since)
