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
    Member,
    Placement,
    PlacementRequest,
    PlacementSettings,
    UpstreamKind,
    UpstreamReport,
    View,
    choose_subset,
    commit_placement,
    least_outstanding,
    place_request,
    prefix_affinity,
    round_robin,
)

from gypsumrelay_entry import events
from gypsumrelay_entry.estimates import PlacementEstimates
from gypsumrelay_entry.membership import (
    AgentMembership,
    apply_drains,
    apply_listing,
    apply_report,
    begin_attempt,
    end_attempt,
    record_link_failure,
    unusable_upstreams,
)

if TYPE_CHECKING:
    from gypsumrelay_wire import Address, LoadReport

Policy = Callable[..., Any]

# Agents apply the slow-start ramp to the slots that they report, so the entry
# adds practically no ramp of its own.
NO_RAMP_SECONDS: Final = 0.001
# Placement accepts estimated waits beyond the deadline up to this factor,
# because the agents' fair queues decide which account's request is served
# first and the entry cannot predict that.
WAIT_TOLERANCE: Final = 8
PLACEMENT_SETTINGS: Final = PlacementSettings(
    ramp_seconds=NO_RAMP_SECONDS,
    wait_tolerance=WAIT_TOLERANCE,
)

# Values of the setting `routing.policy`. All but the first are baselines for
# comparison.
POLICIES: Final[dict[str, Callable[[], Policy]]] = {
    'gypsumrelay': lambda: place_request,
    'round_robin': round_robin,
    'least_outstanding': least_outstanding,
    'prefix_affinity': prefix_affinity,
}


@attrs.define
class EntryState:
    """State of the actor.

    Attributes:
        name: Name of the entry, from which its subset of agents is derived.
        view: Load reports of the upstreams and the entry's commitments.
        rng: Random generator of the placement policy.
        subset_size: Number of agents in the subset of each pool.
        membership: Membership state of the agents.
        policy: Function that chooses the upstreams of a request.
        estimates: Measured speeds by model and prefix hints by upstream.
        agents: Agents in the subset, by the name of their upstream.
    """

    name: str
    view: View
    rng: random.Random
    subset_size: int
    membership: AgentMembership = attrs.field(factory=AgentMembership)
    policy: Policy = place_request
    estimates: PlacementEstimates = attrs.field(
        factory=lambda: PlacementEstimates(PLACEMENT_SETTINGS)
    )
    agents: dict[str, ListedInstance] = attrs.field(factory=dict)


class EntryActor(pykka.ThreadingActor):
    """Chooses the upstreams of requests, one message at a time."""

    use_daemon_thread = True

    def __init__(self, state: EntryState) -> None:
        """Create an actor that owns the given state."""
        super().__init__()
        self.state = state

    def on_receive(self, message: Any) -> Any:
        """Handle one event or query; ignore messages of other types."""
        handler = _HANDLERS.get(type(message))
        return handler(self.state, message) if handler else None


def _place(
    state: EntryState,
    event: events.PlacementQuery,
) -> events.AttemptPlacement | Failure:
    now = monotonic()
    unusable = unusable_upstreams(state.membership, state.agents, now)
    request = attrs.evolve(
        event.request,
        excluded=event.request.excluded | unusable,
    )
    placement = state.policy(
        state.view,
        request,
        state.rng,
        state.estimates.settings_for(request.serves),
        now,
    )
    if isinstance(placement, Failure):
        return placement
    commit_placement(state.view, placement, request, now)
    begin_attempt(state.membership, placement.upstreams)
    if placement.prefill is not None:
        state.estimates.add_hints(placement.prefill, request.prefixes)
    return _attempt_placement(state, request, placement)


def _apply_listing(state: EntryState, event: events.ListingRead) -> None:
    """Update the entry's subset of agents from the platform's list."""
    apply_listing(state.membership, event.listing, monotonic())
    pools: dict[tuple[str, str], list[ListedInstance]] = {}
    for agent in event.listing.instances:
        if agent.role == 'agent' and not agent.leaving:
            pools.setdefault((agent.kind, agent.serves), []).append(agent)
    state.agents = {}
    for pool in pools.values():
        chosen = _choose_subset(state, pool)
        state.agents.update(
            (candidate.upstream, candidate)
            for candidate in pool
            if candidate.upstream in chosen
        )
    for upstream in list(state.view.upstreams):
        if upstream not in state.agents:
            state.view.remove_upstream(upstream)


def _apply_report(state: EntryState, event: events.LoadReported) -> None:
    """Update the view from an agent's load report.

    Reports of agents outside the subset and of unknown kinds are ignored.
    """
    report = event.report
    agent = state.agents.get(report.upstream)
    if agent is None or report.kind not in {
        kind.value for kind in UpstreamKind
    }:
        return
    now = monotonic()
    apply_report(state.membership, agent, report, now)
    state.view.apply_report(
        UpstreamReport(
            upstream=report.upstream,
            kind=UpstreamKind(report.kind),
            serves=report.serves,
            availability_zone=agent.availability_zone,
            free_slots=report.free_slots,
            free_blocks=report.free_pieces,
            waiting=report.waiting,
            slots=report.slots,
            decode_ms=report.decode_ms or _default_decode_ms(state, report),
            cold=report.cold,
            draining=report.draining,
            prefixes=_prefixes_with_hints(state, report),
        ),
        now,
    )


def _prefixes_with_hints(
    state: EntryState, report: LoadReport
) -> tuple[bytes, ...]:
    """Return the hints for an upstream, then its reported prefixes.

    Duplicates are removed.
    """
    hints = state.estimates.prefix_hints.get(report.upstream, {})
    return tuple(dict.fromkeys((*hints, *report.prefixes)))


def _default_decode_ms(state: EntryState, report: LoadReport) -> int:
    """Return the decode time to assume for an upstream without a measurement.

    This is the shortest reported time of the upstreams that serve the same
    model, in milliseconds per token, or 0 if none is reported. With a longer
    one, a restarted upstream would get no work and never report its own.
    """
    reported = [
        view.report.decode_ms
        for view in state.view.upstreams.values()
        if view.report.serves == report.serves and view.report.decode_ms
    ]
    return min(reported, default=0)


def _remove_instance(state: EntryState, event: events.LinkFailed) -> None:
    """Remove an agent's upstream from the view until it reports again."""
    for agent in state.agents.values():
        if agent.name == event.instance:
            state.view.remove_upstream(agent.upstream)
            state.estimates.remove_hints(agent.upstream)
            record_link_failure(state.membership, agent, monotonic())


def _peer_addresses(
    state: EntryState,
    event: events.PeerAddressesQuery,
) -> list[Address]:
    """Return the addresses of the agents that the entry connects to."""
    return [agent.address for agent in state.agents.values()]


def _choose_subset(
    state: EntryState, pool: list[ListedInstance]
) -> tuple[str, ...]:
    candidates = [
        Member(agent.upstream, agent.availability_zone) for agent in pool
    ]
    return choose_subset(state.name, candidates, state.subset_size)


def _attempt_placement(
    state: EntryState,
    request: PlacementRequest,
    placement: Placement,
) -> events.AttemptPlacement | Failure:
    main_agent = state.agents.get(placement.upstream)
    prefill_agent = state.agents.get(placement.prefill or placement.upstream)
    if main_agent is None or prefill_agent is None:
        return NoUpstream('the chosen upstream has just left')
    return events.AttemptPlacement(
        request.request_id,
        _target(main_agent),
        _target(prefill_agent),
        placement.upstreams,
        placement.work_seconds,
    )


def _target(agent: ListedInstance) -> events.Target:
    return events.Target(agent.upstream, agent.name, agent.address)


def _count_usable(state: EntryState, event: events.UsableUpstreamsQuery) -> int:
    now = monotonic()
    unusable = unusable_upstreams(state.membership, state.agents, now)
    return sum(
        state.view.accepts_work(upstream, now) and upstream not in unusable
        for upstream in state.view.upstreams
    )


def _confirm(state: EntryState, event: events.AttemptGranted) -> None:
    state.view.confirm(event.name, event.upstream)


def _release(state: EntryState, event: events.AttemptEnded) -> None:
    state.view.release(event.name, event.upstreams)
    if event.durations is not None:
        state.estimates.record_durations(event.durations)
    end_attempt(
        state.membership,
        event.upstreams,
        monotonic(),
        completed=event.completed,
    )


def _apply_drains(state: EntryState, event: events.DrainsChanged) -> None:
    apply_drains(state.membership, event.drains, monotonic())


_HANDLERS: Final[dict[type, Callable[[EntryState, Any], Any]]] = {
    events.PlacementQuery: _place,
    events.PeerAddressesQuery: _peer_addresses,
    events.UsableUpstreamsQuery: _count_usable,
    events.ListingRead: _apply_listing,
    events.LoadReported: _apply_report,
    events.AttemptGranted: _confirm,
    events.AttemptEnded: _release,
    events.LinkFailed: _remove_instance,
    events.DrainsChanged: _apply_drains,
}
