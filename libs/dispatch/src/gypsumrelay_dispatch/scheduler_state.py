"""State of the coordinator: upstreams, placements, queue and budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_attribution import CrashHistory, PendingLosses
from gypsumrelay_fairness import Fairness, Waiting
from gypsumrelay_performance import LimitChange
from gypsumrelay_rollouts import Rollouts, apply_versions, may_use

from gypsumrelay_dispatch.accounts import Accounts, set_accounts
from gypsumrelay_dispatch.crashes import confirm
from gypsumrelay_dispatch.event_size import EventSize
from gypsumrelay_dispatch.grant_rate import GrantRate
from gypsumrelay_dispatch.leaving import (
    Departures,
    is_leaving,
    state_leaving,
)
from gypsumrelay_dispatch.leaving import (
    note_listed as note_listed_departures,
)
from gypsumrelay_dispatch.loads import ActivePlacement, Load
from gypsumrelay_dispatch.models import (
    AccountLimits,
    PlacementRequest,
    ServiceLimits,
    Upstream,
)
from gypsumrelay_dispatch.pauses import Pauses
from gypsumrelay_dispatch.placement_reports import PlacementReports
from gypsumrelay_dispatch.rate_limits import (
    RateLimits,
    admit_restarted,
    note_listed,
)
from gypsumrelay_dispatch.retry_budget import RetryBudget, RetryLimit
from gypsumrelay_dispatch.stream_starts import StreamStarts
from gypsumrelay_dispatch.transfers import Transfers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.rebalancing import Workload


# Seconds after a request's deadline until its placement expires, if the
# instance does not report the end before.
REPORT_GRACE_SECONDS: Final = 2.0
# Seconds after which a prefill counts as ended without a report; instances
# time out much earlier.
MAX_PREFILL_SECONDS: Final = 4.0
# Initial decode time in milliseconds per token, until the first stream ends.
INITIAL_PACE_MS: Final = 3.0


@attrs.define
class QueuedRequest:
    """A queued placement request.

    Attributes:
        request: The placement request.
        requested_at: Instant of its arrival at the coordinator.
        overdrawn: Whether the account's bucket is overdrawn; such requests
            are served after all others.
        delay: Seconds added to its latency objective in the queue order
            because of its cost.
        waiting: What the queue policy `weighted` orders it by; None with
            `strict`.
    """

    request: PlacementRequest
    requested_at: float
    overdrawn: bool = False
    delay: float = 0
    waiting: Waiting | None = None


@attrs.define
class HeldRequest:
    """A request whose stream began at a version that is not known yet.

    Attributes:
        request: The placement request.
        held_at: Instant at which it arrived.
        until: Instant until which the version is waited for.
    """

    request: PlacementRequest
    held_at: float
    until: float


@attrs.define
class SchedulerState:
    """State that the coordinator schedules by.

    Attributes:
        settings: Settings of the scheduling policy.
        services: Limits of the services, by name.
        evacuated: Availability zones that get no requests.
        loads: Load of the upstreams, by name.
        placements: Active placements, by attempt.
        queue: Queued placement requests.
        accounts: Token buckets of the client accounts.
        retry_budgets: Retry budgets, by service.
        crash_history: Upstream crashes and their causes.
        losses: Lost connections that may have been crashes.
        pace_ms: Moving average of the decode time per expected token, in
            milliseconds.
        workloads: Average work of the requests, by service.
        grant_rates: Grant rates of the queues, by service.
        list_position: Position of the list of upstreams in the store.
        list_expires_at: Instant at which the list of upstreams becomes too old
            for new grants.
        versions_known: Whether the versions of the upstreams are those of the
            list; not while this instance may have missed their changes.
        rate_limits: Rate limits that upstreams state, by upstream.
        departures: Upstreams that state in their answers that they are
            leaving.
        pauses: Pauses that upstreams asked instances for.
        placement_reports: Reports of active placements after a change of the
            coordinator.
        stream_starts: Versions that began the recent streams.
        unbound: Requests that go on with a stream whose version is not known
            yet, by attempt.
        mean_cost: Moving average of the cost of a model request, in tokens
            squared; see `forecast.request_cost`.
        event_sizes: Mean size of the events of streams, by service.
        limit_changes: Changes of limits that are not logged yet.
        fairness: What is known of competing callers; empty with the queue
            policy `strict`.
        transfers: Observed times of KV cache transfers.
        rollouts: Roll-outs of software versions.
    """

    settings: DispatchSettings
    services: dict[str, ServiceLimits] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    loads: dict[str, Load] = attrs.field(factory=dict)
    placements: dict[tuple[str, int], ActivePlacement] = attrs.field(
        factory=dict
    )
    queue: list[QueuedRequest] = attrs.field(factory=list)
    accounts: Accounts = attrs.field(factory=Accounts)
    retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    crash_history: CrashHistory = attrs.field(factory=CrashHistory)
    losses: PendingLosses = attrs.field(factory=PendingLosses)
    pace_ms: float = INITIAL_PACE_MS
    workloads: dict[str, Workload] = attrs.field(factory=dict)
    grant_rates: dict[str, GrantRate] = attrs.field(factory=dict)
    list_position: int = -1
    list_expires_at: float = float('inf')
    versions_known: bool = True
    rate_limits: RateLimits = attrs.field(factory=dict)
    departures: Departures = attrs.field(factory=dict)
    pauses: Pauses = attrs.field(factory=dict)
    placement_reports: PlacementReports = attrs.field(factory=PlacementReports)
    stream_starts: StreamStarts = attrs.field(factory=StreamStarts)
    unbound: dict[tuple[str, int], HeldRequest] = attrs.field(factory=dict)
    mean_cost: float = 0
    event_sizes: dict[str, EventSize] = attrs.field(factory=dict)
    limit_changes: list[LimitChange] = attrs.field(factory=list)
    fairness: Fairness = attrs.field(factory=Fairness)
    transfers: Transfers = attrs.field(factory=Transfers)
    rollouts: Rollouts = attrs.field(factory=Rollouts)

    @property
    def retry_limit(self) -> RetryLimit:
        """Return the retry limit, which is the same for all services."""
        settings = self.settings
        return RetryLimit(
            settings.repeat_window_seconds,
            settings.repeat_ratio,
            settings.repeat_slack,
        )

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service; create it if missing."""
        return self.retry_budgets.setdefault(service, RetryBudget())

    def grant_rate(self, service: str) -> GrantRate:
        """Return the grant rate of a service; create it if missing."""
        return self.grant_rates.setdefault(service, GrantRate())

    def event_size(self, service: str) -> EventSize:
        """Return the event size of a service; create it if missing."""
        return self.event_sizes.setdefault(service, EventSize())


def apply_configuration(
    scheduler: SchedulerState,
    services: Iterable[ServiceLimits],
    accounts: Iterable[AccountLimits],
    now: float,
) -> None:
    """Apply the services and accounts of a configuration."""
    scheduler.services = {service.name: service for service in services}
    set_accounts(scheduler.accounts, accounts, now)


def apply_upstreams(
    scheduler: SchedulerState,
    upstreams: Iterable[Upstream],
    now: float,
    *,
    store_recovered: bool = False,
) -> None:
    """Apply a list of upstreams.

    An upstream with a new start time begins without load. One that is no
    longer listed gets no new requests, after a grace period if the store
    was unavailable.

    Args:
        scheduler: The coordinator's state.
        upstreams: All listed upstreams.
        now: The present instant.
        store_recovered: Whether the store was unavailable shortly before, so
            that missing entries may be registered again.
    """
    listed = {
        upstream.name: _with_departure(scheduler, upstream)
        for upstream in upstreams
    }
    for name, upstream in listed.items():
        load = scheduler.loads.get(name)
        if load is None:
            scheduler.loads[name] = Load(upstream)
            continue
        if load.upstream.started_ms != upstream.started_ms:
            _confirm_crash(scheduler, load, now)
            scheduler.loads[name] = Load(upstream)
            admit_restarted(scheduler.rate_limits, name, now)
            continue
        if upstream.phase is load.changing_to:
            load.changing_to = None
            load.changing_until = 0
        load.upstream = upstream
        load.usable_until = float('inf')
    note_listed(scheduler.rate_limits, listed, now)
    note_listed_departures(scheduler.departures, listed.values(), now)
    addresses = {entry.address for entry in listed.values()}
    for name in scheduler.loads.keys() - listed.keys():
        gone = scheduler.loads[name]
        # An upstream whose address is in use by another one has ended.
        may_reregister = (
            store_recovered and gone.upstream.address not in addresses
        )
        grace = scheduler.settings.lapse_seconds if may_reregister else 0
        if gone.usable_until > now:
            _confirm_crash(scheduler, gone, now)
        gone.usable_until = min(gone.usable_until, now + grace)
    _apply_versions(scheduler, now)


def _apply_versions(scheduler: SchedulerState, now: float) -> None:
    """Apply the versions of all upstreams that may get requests.

    If only upstreams that leave are left of a version, another one is needed.
    """
    versions: dict[str, set[str]] = {}
    for load in scheduler.loads.values():
        upstream = load.upstream
        if now < load.usable_until and not upstream.leaving:
            known = versions.setdefault(upstream.service, set())
            known.add(upstream.version)
    apply_versions(scheduler.rollouts, versions, now)


def apply_departure(
    scheduler: SchedulerState, upstream: str, started_ms: int
) -> None:
    """Stop placements at an upstream that states that it is leaving.

    Args:
        scheduler: The coordinator's state.
        upstream: Name of the upstream.
        started_ms: Start of the incarnation that states it, Unix milliseconds;
            0 for the listed one.
    """
    load = scheduler.loads.get(upstream)
    if load is not None and not started_ms:
        started_ms = load.upstream.started_ms
    state_leaving(scheduler.departures, upstream, started_ms)
    if load is not None:
        load.upstream = _with_departure(scheduler, load.upstream)


def _with_departure(scheduler: SchedulerState, upstream: Upstream) -> Upstream:
    """Return an upstream as leaving if its answers state it."""
    started_ms = upstream.started_ms
    if is_leaving(scheduler.departures, upstream.name, started_ms):
        return attrs.evolve(upstream, leaving=True)
    return upstream


def _confirm_crash(scheduler: SchedulerState, load: Load, now: float) -> None:
    if not load.upstream.leaving:
        confirm(scheduler, load.upstream.name, now)


def is_usable(scheduler: SchedulerState, load: Load, now: float) -> bool:
    """Return whether an upstream may get new requests."""
    return not unusable_reason(scheduler, load, now)


def unusable_reason(scheduler: SchedulerState, load: Load, now: float) -> str:
    """Return why an upstream gets no new requests; empty if it does."""
    upstream = load.upstream
    if upstream.leaving:
        return 'leaving'
    if upstream.availability_zone in scheduler.evacuated:
        return 'availability zone evacuated'
    if now >= load.usable_until:
        return 'no longer listed'
    if not may_use(scheduler.rollouts, upstream.service, upstream.version):
        return 'version not in use'
    return ''


def add_placement(
    scheduler: SchedulerState, placement: ActivePlacement
) -> None:
    """Add a placement to its upstreams; replaces one of the same attempt."""
    request = placement.request
    remove_placement(scheduler, request.key)
    scheduler.placements[request.key] = placement
    load = scheduler.loads.get(placement.upstream)
    if load is not None:
        load.running[request.key] = placement
    prefill_load = scheduler.loads.get(placement.prefill)
    if prefill_load is not None:
        prefill_load.prefill_work_ms[request.key] = placement.prefill_ms


def remove_placement(
    scheduler: SchedulerState, key: tuple[str, int]
) -> ActivePlacement | None:
    """Remove an attempt's placement from its upstreams and return it."""
    placement = scheduler.placements.pop(key, None)
    if placement is None:
        return None
    load = scheduler.loads.get(placement.upstream)
    if load is not None:
        load.running.pop(key, None)
    prefill_load = scheduler.loads.get(placement.prefill)
    if prefill_load is not None:
        prefill_load.prefill_work_ms.pop(key, None)
    return placement


def expire_placements(scheduler: SchedulerState, now: float) -> None:
    """Expire placements and prefills whose end was not reported.

    A report is lost if its connection breaks; without expiry, the placement
    would occupy its upstream for ever.
    """
    for key, placement in list(scheduler.placements.items()):
        if now > placement.request.deadline + REPORT_GRACE_SECONDS:
            remove_placement(scheduler, key)
        elif (
            placement.prefill
            and now > placement.granted_at + MAX_PREFILL_SECONDS
        ):
            prefill_load = scheduler.loads.get(placement.prefill)
            if prefill_load is not None:
                prefill_load.prefill_work_ms.pop(key, None)


def remove_departed(scheduler: SchedulerState, now: float) -> None:
    """Remove unlisted upstreams that have no placements left."""
    for name, load in list(scheduler.loads.items()):
        idle = not load.running and not load.prefill_work_ms
        if idle and now >= load.usable_until:
            scheduler.loads.pop(name)
