"""State of the coordinator: upstreams, placements, queue and budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch.accounts import Accounts, set_accounts
from gypsumrelay_dispatch.crashes import Blame, confirm
from gypsumrelay_dispatch.grant_rate import Flow
from gypsumrelay_dispatch.loads import Load, Place
from gypsumrelay_dispatch.models import (
    AccountRules,
    Need,
    ServiceRules,
    Upstream,
)
from gypsumrelay_dispatch.placement_reports import Handover
from gypsumrelay_dispatch.retry_budget import RepeatBudget, RepeatLimit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gypsumrelay_settings import DispatchSettings

    from gypsumrelay_dispatch.rebalancing import Shape


# Seconds after a request's deadline until its placement expires, if the
# instance does not report the end before.
OVERDUE_SECONDS: Final = 2.0
# Seconds after which a prefill counts as ended without a report; instances
# time out much earlier.
MAX_READ_SECONDS: Final = 4.0
# Initial decode time in milliseconds per token, until the first stream ends.
FIRST_PACE_MS: Final = 3.0


@attrs.define
class Waiting:
    """A queued placement request.

    Attributes:
        need: The placement request.
        asked_at: Instant of its arrival at the coordinator.
        overdrawn: Whether the account's bucket is overdrawn; such requests
            are served after all others.
        delay: Seconds added to its latency objective in the queue order
            because of its cost.
    """

    need: Need
    asked_at: float
    overdrawn: bool = False
    delay: float = 0


@attrs.define
class Board:
    """State that the coordinator schedules by.

    Attributes:
        settings: Settings of the scheduling policy.
        services: Limits of the services, by name.
        evacuated: Availability zones that get no requests.
        loads: Load of the upstreams, by name.
        places: Active placements, by attempt.
        queue: Queued placement requests.
        accounts: Token buckets of the client accounts.
        repeats: Retry budgets, by service.
        blame: Upstream crashes attributed to request contents.
        pace_ms: Moving average of the decode time per expected token, in
            milliseconds.
        shapes: Average work of the requests, by service.
        flows: Grant rates of the queues, by service.
        list_position: Position of the list of upstreams in the store.
        list_until: Instant at which the list of upstreams becomes too old
            for new grants.
        handover: Reports of active placements after a change of the
            coordinator.
        usual_cost: Moving average of the cost of a model request, in tokens
            squared; see `forecast.cost`.
    """

    settings: DispatchSettings
    services: dict[str, ServiceRules] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    loads: dict[str, Load] = attrs.field(factory=dict)
    places: dict[tuple[str, int], Place] = attrs.field(factory=dict)
    queue: list[Waiting] = attrs.field(factory=list)
    accounts: Accounts = attrs.field(factory=Accounts)
    repeats: dict[str, RepeatBudget] = attrs.field(factory=dict)
    blame: Blame = attrs.field(factory=Blame)
    pace_ms: float = FIRST_PACE_MS
    shapes: dict[str, Shape] = attrs.field(factory=dict)
    flows: dict[str, Flow] = attrs.field(factory=dict)
    list_position: int = -1
    list_until: float = float('inf')
    handover: Handover = attrs.field(factory=Handover)
    usual_cost: float = 0

    @property
    def repeat_limit(self) -> RepeatLimit:
        """Return the retry limit, which is the same for all services."""
        settings = self.settings
        return RepeatLimit(
            settings.repeat_window_seconds,
            settings.repeat_ratio,
            settings.repeat_slack,
        )

    def budget(self, service: str) -> RepeatBudget:
        """Return the retry budget of a service; create it if missing."""
        return self.repeats.setdefault(service, RepeatBudget())

    def flow(self, service: str) -> Flow:
        """Return the grant rate of a service; create it if missing."""
        return self.flows.setdefault(service, Flow())


def set_rules(
    board: Board,
    services: Iterable[ServiceRules],
    accounts: Iterable[AccountRules],
    now: float,
) -> None:
    """Apply the services and accounts of a configuration."""
    board.services = {service.name: service for service in services}
    set_accounts(board.accounts, accounts, now)


def set_upstreams(
    board: Board,
    upstreams: Iterable[Upstream],
    now: float,
    *,
    lapsed: bool = False,
) -> None:
    """Apply a list of upstreams.

    An upstream with a new start time begins without load. One that is no
    longer listed gets no new requests, after a grace period if the store
    was unavailable.

    Args:
        board: The coordinator's state.
        upstreams: All listed upstreams.
        now: The present instant.
        lapsed: Whether the store was unavailable shortly before, so that
            missing entries may be registered again.
    """
    listed = {upstream.name: upstream for upstream in upstreams}
    for name, upstream in listed.items():
        load = board.loads.get(name)
        if load is None:
            board.loads[name] = Load(upstream)
            continue
        if load.upstream.started_ms != upstream.started_ms:
            _confirm_down(board, load, now)
            board.loads[name] = Load(upstream)
            continue
        if upstream.phase is load.changing_to:
            load.changing_to = None
            load.changing_until = 0
        load.upstream = upstream
        load.usable_until = float('inf')
    addresses = {entry.address for entry in listed.values()}
    for name in board.loads.keys() - listed.keys():
        gone = board.loads[name]
        # An upstream whose address is in use by another one has ended.
        may_return = lapsed and gone.upstream.address not in addresses
        grace = board.settings.lapse_seconds if may_return else 0
        if gone.usable_until > now:
            _confirm_down(board, gone, now)
        gone.usable_until = min(gone.usable_until, now + grace)


def _confirm_down(board: Board, load: Load, now: float) -> None:
    upstream = load.upstream
    confirm(
        board.blame,
        (upstream.name, upstream.started_ms),
        now + board.settings.blame_seconds,
        now,
    )


def usable(board: Board, load: Load, now: float) -> bool:
    """Return whether an upstream may get new requests."""
    upstream = load.upstream
    return (
        not upstream.leaving
        and upstream.availability_zone not in board.evacuated
        and now < load.usable_until
    )


def occupy(board: Board, place: Place) -> None:
    """Add a placement to its upstreams; replaces one of the same attempt."""
    need = place.need
    vacate(board, need.key)
    board.places[need.key] = place
    load = board.loads.get(place.upstream)
    if load is not None:
        load.running[need.key] = place
    reading = board.loads.get(place.prefill)
    if reading is not None:
        reading.reading_ms[need.key] = place.prefill_ms


def vacate(board: Board, key: tuple[str, int]) -> Place | None:
    """Remove an attempt's placement from its upstreams and return it."""
    place = board.places.pop(key, None)
    if place is None:
        return None
    load = board.loads.get(place.upstream)
    if load is not None:
        load.running.pop(key, None)
    reading = board.loads.get(place.prefill)
    if reading is not None:
        reading.reading_ms.pop(key, None)
    return place


def drop_overdue(board: Board, now: float) -> None:
    """Expire placements and prefills whose end was not reported.

    A report is lost if its connection breaks; without expiry, the placement
    would occupy its upstream for ever.
    """
    for key, place in list(board.places.items()):
        if now > place.need.deadline + OVERDUE_SECONDS:
            vacate(board, key)
        elif place.prefill and now > place.granted_at + MAX_READ_SECONDS:
            reading = board.loads.get(place.prefill)
            if reading is not None:
                reading.reading_ms.pop(key, None)


def drop_gone(board: Board, now: float) -> None:
    """Remove unlisted upstreams that have no placements left."""
    for name, load in list(board.loads.items()):
        idle = not load.running and not load.reading_ms
        if idle and now >= load.usable_until:
            board.loads.pop(name)
