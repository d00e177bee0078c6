"""Actor that owns the entry's view of the upstreams and places attempts."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import attrs
import pykka
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, NoUpstream
from gypsumrelay_platform import ListedInstance
from gypsumrelay_routing import (
    Kind,
    Member,
    Placement,
    PlacementRequest,
    PlacementSettings,
    UpstreamReport,
    View,
    commit,
    least_outstanding,
    place,
    prefix_affinity,
    round_robin,
    subset,
)

from gypsumrelay_entry import events
from gypsumrelay_entry.estimates import Learned
from gypsumrelay_entry.membership import (
    Members,
    begin_work,
    end_work,
    note_refused,
    take_drains,
    take_member_report,
    take_members,
    unusable,
)

if TYPE_CHECKING:
    from gypsumrelay_wire import Address, LoadReport

Policy = Callable[..., Any]

# Agents apply the slow-start ramp to the slots that they report, so the ramp
# of the entry has practically no length.
NO_RAMP_SECONDS: Final = 0.001
# Placement accepts estimated waits beyond the deadline up to this factor,
# because the agents' fair queues decide which account's request is served
# first and the entry cannot predict that.
WAIT_TOLERANCE: Final = 8
PLACING: Final = PlacementSettings(
    ramp_seconds=NO_RAMP_SECONDS,
    wait_tolerance=WAIT_TOLERANCE,
)

# Values of the setting `routing.policy`. All but the first are baselines for
# comparison.
POLICIES: Final[dict[str, Callable[[], Policy]]] = {
    'gypsumrelay': lambda: place,
    'round_robin': round_robin,
    'least_outstanding': least_outstanding,
    'prefix_affinity': prefix_affinity,
}


@attrs.define
class ViewState:
    """State of the actor.

    Attributes:
        name: Name of the entry, from which its subset of agents is derived.
        view: Load reports of the upstreams and the entry's commitments.
        rng: Random generator of the placement policy.
        subset_size: Number of agents in the subset of each pool.
        members: Membership state of the agents.
        policy: Function that chooses the upstreams of a request.
        learned: Measured speeds by model and prefix hints by upstream.
        listed: Agents in the subset, by the name of their upstream.
    """

    name: str
    view: View
    rng: random.Random
    subset_size: int
    members: Members = attrs.field(factory=Members)
    policy: Policy = place
    learned: Learned = attrs.field(factory=lambda: Learned(PLACING))
    listed: dict[str, ListedInstance] = attrs.field(factory=dict)


class EntryActor(pykka.ThreadingActor):
    """Chooses the upstreams of requests, one message at a time."""

    use_daemon_thread = True

    def __init__(self, state: ViewState) -> None:
        """Create an actor that owns the given state."""
        super().__init__()
        self.state = state

    def on_receive(self, message: Any) -> Any:
        """Handle one event or query; ignore messages of other types."""
        handler = _HANDLERS.get(type(message))
        return handler(self.state, message) if handler else None


def _place(
    state: ViewState,
    event: events.Place,
) -> events.Placed | Failure:
    now = monotonic()
    blocked = unusable(state.members, state.listed, now)
    request = attrs.evolve(
        event.request,
        excluded=event.request.excluded | blocked,
    )
    placement = state.policy(
        state.view,
        request,
        state.rng,
        state.learned.settings_for(request.serves),
        now,
    )
    if isinstance(placement, Failure):
        return placement
    commit(state.view, placement, request, now)
    begin_work(state.members, placement.upstreams)
    if placement.prefill is not None:
        state.learned.sent(placement.prefill, request.prefixes)
    return _placed(state, request, placement)


def _take_listing(state: ViewState, event: events.ListingRead) -> None:
    """Update the entry's subset of agents from the platform's list."""
    take_members(state.members, event.listing, monotonic())
    pools: dict[tuple[str, str], list[ListedInstance]] = {}
    for listed in event.listing.instances:
        if listed.role == 'agent' and not listed.leaving:
            pools.setdefault((listed.kind, listed.serves), []).append(listed)
    state.listed = {}
    for pool in pools.values():
        chosen = _subset(state, pool)
        state.listed.update(
            (one.upstream, one) for one in pool if one.upstream in chosen
        )
    for upstream in list(state.view.upstreams):
        if upstream not in state.listed:
            state.view.forget(upstream)


def _take_report(state: ViewState, event: events.LoadReported) -> None:
    """Update the view from an agent's load report.

    Reports of agents outside the subset and of unknown kinds are ignored.
    """
    report = event.report
    listed = state.listed.get(report.upstream)
    if listed is None or report.kind not in {kind.value for kind in Kind}:
        return
    now = monotonic()
    take_member_report(state.members, listed, report, now)
    state.view.observe(
        UpstreamReport(
            upstream=report.upstream,
            kind=Kind(report.kind),
            serves=report.serves,
            availability_zone=listed.availability_zone,
            free_slots=report.free_slots,
            free_blocks=report.free_pieces,
            waiting=report.waiting,
            slots=report.slots,
            decode_ms=report.decode_ms or _fastest_ms(state, report),
            cold=report.cold,
            draining=report.draining,
            prefixes=_prefixes(state, report),
        ),
        now,
    )


def _prefixes(state: ViewState, report: LoadReport) -> tuple[bytes, ...]:
    """Return the hints for an upstream, then its reported prefixes.

    Duplicates are removed.
    """
    hints = state.learned.hints.get(report.upstream, {})
    return tuple(dict.fromkeys((*hints, *report.prefixes)))


def _fastest_ms(state: ViewState, report: LoadReport) -> int:
    """Return the decode time to assume for an upstream without a measurement.

    This is the shortest reported time of the upstreams that serve the same
    model, in milliseconds per token, or 0 if none is reported. With a longer
    one, a restarted upstream would get no work and never report its own.
    """
    known = [
        view.report.decode_ms
        for view in state.view.upstreams.values()
        if view.report.serves == report.serves and view.report.decode_ms
    ]
    return min(known, default=0)


def _forget_instance(state: ViewState, event: events.LinkFailed) -> None:
    """Remove an agent's upstream from the view until it reports again."""
    for listed in state.listed.values():
        if listed.name == event.instance:
            state.view.forget(listed.upstream)
            state.learned.forget(listed.upstream)
            note_refused(state.members, listed, monotonic())


def _wanted_peers(
    state: ViewState,
    event: events.WantedPeers,
) -> list[Address]:
    """Return the addresses of the agents that the entry connects to."""
    return [listed.address for listed in state.listed.values()]


def _subset(state: ViewState, pool: list[ListedInstance]) -> tuple[str, ...]:
    members = [
        Member(listed.upstream, listed.availability_zone) for listed in pool
    ]
    return subset(state.name, members, state.subset_size)


def _placed(
    state: ViewState,
    request: PlacementRequest,
    placement: Placement,
) -> events.Placed | Failure:
    main = state.listed.get(placement.upstream)
    prefill = state.listed.get(placement.prefill or placement.upstream)
    if main is None or prefill is None:
        return NoUpstream('the chosen upstream has just left')
    return events.Placed(
        request.request_id,
        _target(main),
        _target(prefill),
        placement.upstreams,
        placement.work_seconds,
    )


def _target(listed: ListedInstance) -> events.Target:
    return events.Target(listed.upstream, listed.name, listed.address)


def _count_usable(state: ViewState, event: events.CountUsable) -> int:
    now = monotonic()
    blocked = unusable(state.members, state.listed, now)
    return sum(
        state.view.accepts_work(upstream, now) and upstream not in blocked
        for upstream in state.view.upstreams
    )


def _confirm(state: ViewState, event: events.AttemptGranted) -> None:
    state.view.confirm(event.name, event.upstream)


def _release(state: ViewState, event: events.AttemptEnded) -> None:
    state.view.release(event.name, event.upstreams)
    if event.measured is not None:
        state.learned.learn(event.measured)
    end_work(
        state.members,
        event.upstreams,
        monotonic(),
        completed=event.completed,
    )


def _take_drains(state: ViewState, event: events.DrainsChanged) -> None:
    take_drains(state.members, event.drains, monotonic())


_HANDLERS: Final[dict[type, Callable[[ViewState, Any], Any]]] = {
    events.Place: _place,
    events.WantedPeers: _wanted_peers,
    events.CountUsable: _count_usable,
    events.ListingRead: _take_listing,
    events.LoadReported: _take_report,
    events.AttemptGranted: _confirm,
    events.AttemptEnded: _release,
    events.LinkFailed: _forget_instance,
    events.DrainsChanged: _take_drains,
}
