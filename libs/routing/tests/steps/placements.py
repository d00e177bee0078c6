"""Steps for the view and the placement, with a stateful test of the view."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_errors import (
    DeadlineUnreachable,
    Failure,
    NoUpstream,
    Overloaded,
)
from gypsumrelay_routing import (
    LinkSettings,
    Member,
    Placement,
    PlacementRequest,
    PlacementSettings,
    Policy,
    Pool,
    UpstreamKind,
    UpstreamReport,
    View,
    ViewSettings,
    choose_subset,
    commit_placement,
    least_outstanding,
    place_request,
    prefix_affinity,
    round_robin,
    usable_slots,
)
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

MACHINE_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    # Shrinking a failure can take minutes, and an example of 50 steps is
    # readable without it.
    phases=(Phase.generate,),
    max_examples=150,
    stateful_step_count=50,
)
NAMES = tuple(f'u{number}' for number in range(4))
DIGESTS = tuple(bytes([number]) for number in range(4))
PLACEMENT_SETTINGS = PlacementSettings()
VIEW_SETTINGS = ViewSettings(max_upstreams=3, max_commitments=2, max_prefixes=2)
LAG = VIEW_SETTINGS.report_lag_seconds
REQUEST = PlacementRequest(
    'r', 'm', 2, prompt_tokens=8100, max_tokens=200, prefixes=DIGESTS
)


def seeded(seed: int = 3) -> random.Random:
    return random.Random(seed)


def prefix_holders(pool: Pool) -> Iterator[tuple[bytes, str]]:
    for digest, holders in pool.holders.items():
        for name in holders.names:
            yield digest, name


class ViewMachine(RuleBasedStateMachine):
    """Compares the view with plain dicts of reports and commitments."""

    def __init__(self) -> None:
        """Start with an empty view."""
        super().__init__()
        self.view = View('z0', VIEW_SETTINGS)
        self.reports: dict[str, tuple[UpstreamReport, float]] = {}
        self.commitments: dict[tuple[str, str], tuple[int, float, bool]] = {}
        self.rng = seeded()
        self.now: float = 0
        self.count = 0

    @rule(
        name=strategies.sampled_from(NAMES),
        kind=strategies.sampled_from(UpstreamKind),
        free=strategies.integers(0, 3),
        flags=strategies.integers(0, 9),
        prefixes=strategies.lists(
            strategies.sampled_from(DIGESTS), max_size=3, unique=True
        ),
    )
    def observe(
        self,
        name: str,
        kind: UpstreamKind,
        free: int,
        flags: int,
        prefixes: list[bytes],
    ) -> None:
        """Pass a report to the view and update the model."""
        if name not in self.reports and len(self.reports) == 3:
            self.drop(min(self.reports, key=self.reported_at))
        report = UpstreamReport(
            name,
            kind,
            'm',
            'z1',
            free,
            free_blocks=free,
            slots=3,
            cold=flags == 0,
            draining=flags == 1,
            prefixes=tuple(prefixes),
        )
        self.view.apply_report(report, self.now)
        self.reports[name] = (report, self.now)
        for key, (_, committed_at, confirmed) in list(self.commitments.items()):
            if key[0] == name and (confirmed or committed_at < self.now - LAG):
                self.commitments.pop(key)

    def reported_at(self, name: str) -> float:
        """Return the time of an upstream's last report."""
        return self.reports[name][1]

    def drop(self, name: str) -> None:
        """Remove an upstream from the model."""
        self.reports.pop(name, None)
        for key in list(self.commitments):
            if key[0] == name:
                self.commitments.pop(key)

    @rule(
        name=strategies.sampled_from(NAMES),
        blocks=strategies.integers(0, 3),
        number=strategies.integers(0, 3),
    )
    def commit(self, name: str, blocks: int, number: int) -> None:
        """Add a commitment, possibly again with the same name."""
        self.view.commit(str(number), name, blocks, self.now)
        if name not in self.reports:
            return
        self.commitments.pop((name, str(number)), None)
        own = [key for key in self.commitments if key[0] == name]
        if len(own) == VIEW_SETTINGS.max_commitments:
            self.commitments.pop(own[0])
        self.commitments[name, str(number)] = (blocks, self.now, False)

    @rule(
        name=strategies.sampled_from(NAMES),
        number=strategies.integers(0, 3),
        ended=strategies.booleans(),
    )
    def confirm_or_release(self, name: str, number: int, ended: bool) -> None:
        """Confirm or release a commitment that may not exist."""
        key = (name, str(number))
        if ended:
            self.view.release(str(number), [name])
            self.commitments.pop(key, None)
            return
        self.view.confirm(str(number), name)
        if key in self.commitments:
            blocks, committed_at, _ = self.commitments[key]
            self.commitments[key] = (blocks, committed_at, True)

    @rule(
        service=strategies.booleans(),
        excluded=strategies.sets(strategies.sampled_from(NAMES), max_size=3),
    )
    def place(self, service: bool, excluded: set[str]) -> None:
        """Place a request; only usable upstreams may get it."""
        self.count += 1
        request = attrs.evolve(
            REQUEST,
            request_id=f'p{self.count}',
            service=service,
            deadline=self.now + 100,
            excluded=frozenset(excluded),
        )
        answer = place_request(
            self.view, request, self.rng, PLACEMENT_SETTINGS, self.now
        )
        usable = {
            kind: {
                name
                for name, (report, at) in self.reports.items()
                if report.kind == kind
                and not report.draining
                and self.now - at <= VIEW_SETTINGS.stale_seconds
                and name not in excluded
            }
            for kind in UpstreamKind
        }
        needed = (
            (UpstreamKind.service,)
            if service
            else (UpstreamKind.decode, UpstreamKind.prefill)
        )
        if isinstance(answer, Failure):
            assert isinstance(answer, NoUpstream), answer
            assert not all(usable[kind] for kind in needed)
            return
        for option in filter(None, (answer, answer.alternate)):
            assert option.upstream in usable[needed[0]]
            assert option.prefill is None or (
                option.prefill in usable[UpstreamKind.prefill]
            )

    @rule(seconds=strategies.sampled_from((0.1, 0.3, 1, 4, 31)))
    def wait(self, seconds: float) -> None:
        """Advance the clock and expire upstreams."""
        self.now += seconds
        gone = {
            name
            for name, (_, at) in self.reports.items()
            if self.now - at > VIEW_SETTINGS.retention_seconds
        }
        assert set(self.view.expire(self.now)) == gone
        for name in gone:
            self.drop(name)

    @invariant()
    def same_as_model(self) -> None:
        """Compare reports, commitments and indexes."""
        view = self.view
        assert set(view.upstreams) == set(self.reports)
        for name, upstream_view in view.upstreams.items():
            own = {
                key[1]: blocks
                for key, (blocks, _, _) in self.commitments.items()
                if key[0] == name
            }
            found = {
                number: commitment.blocks
                for number, commitment in upstream_view.commitments.items()
            }
            assert found == own, (name, found, own)
            assert upstream_view.committed_blocks == sum(own.values())
            assert upstream_view.confirmed <= set(own)
        self.check_indexes()

    def check_indexes(self) -> None:
        """Compare pools and prefix holders with the reports."""
        pools: dict[tuple[UpstreamKind, str], set[str]] = {}
        holders: set[tuple[UpstreamKind, bytes, str]] = set()
        for name, (report, _) in self.reports.items():
            pools.setdefault((report.kind, 'm'), set()).add(name)
            for digest in report.prefixes[-VIEW_SETTINGS.max_prefixes :]:
                holders.add((report.kind, digest, name))
        found = {
            key: set(pool.upstreams.names)
            for key, pool in self.view.pools.items()
        }
        assert found == pools
        indexed = {
            (kind, *entry)
            for (kind, _), pool in self.view.pools.items()
            for entry in prefix_holders(pool)
        }
        assert indexed == holders


@then("a stateful random test finds no difference from the view's model")
def run_machine(context: Any) -> None:
    run_state_machine_as_test(ViewMachine, settings=MACHINE_SETTINGS)


@given('2 commitments of which one is confirmed')
def commit_two(context: Any) -> None:
    start_waiting(context, 1, 0)
    for name in ('confirmed', 'sent'):
        context.view.commit(name, 'service0', 0, context.now)
    context.view.confirm('confirmed', 'service0')


@then('a report within the lag leaves {count:d} of them')
def check_within_lag(context: Any, count: int) -> None:
    check_left(context, LAG / 2, count)


@then('a report after the lag leaves {count:d} of them')
def check_after_lag(context: Any, count: int) -> None:
    check_left(context, LAG * 2, count)


def check_left(context: Any, now: float, count: int) -> None:
    context.now = now
    observe_all(context, UpstreamKind.service, 1)
    left = context.view.upstreams['service0'].commitments
    assert len(left) == count, left


@attrs.define
class HerdSimulation:
    """Simulates entries that place calls on services with delayed reports."""

    entries: int
    services: int
    slots: int = 4
    seconds: float = 0.2
    step: float = 0.01
    lag: float = 0.2

    def run(self, policy: Policy, load: float, until: float) -> list[float]:
        """Return the longest queue, followed by the sorted waits in seconds."""
        rng = seeded(11)
        views = [View('z0') for _ in range(self.entries)]
        queues: list[list[float]] = [[] for _ in range(self.services)]
        running: list[list[float]] = [[] for _ in range(self.services)]
        reports_in_transit: list[tuple[float, UpstreamReport]] = []
        waits: list[float] = []
        longest = 0
        capacity = self.services * self.slots / self.seconds
        pending_calls: float = 0
        for tick in range(int(until / self.step)):
            now = tick * self.step
            if tick % round(1 / self.step) == 0:
                reports_in_transit.extend(self.reports(now, queues, running))
            while reports_in_transit and reports_in_transit[0][0] <= now:
                arrived = reports_in_transit.pop(0)[1]
                for seen in views:
                    seen.apply_report(arrived, now)
            pending_calls += capacity * load * self.step if now > 1 else 0
            while pending_calls >= 1:
                pending_calls -= 1
                chosen = choose(policy, rng.choice(views), rng, now)
                queues[int(chosen)].append(now)
            waits.extend(self.serve(now, queues, running))
            longest = max(longest, *map(len, queues))
        return [longest, *sorted(waits)]

    def reports(
        self, now: float, queues: list[list[float]], running: list[list[float]]
    ) -> Iterator[tuple[float, UpstreamReport]]:
        """Yield the time of arrival and the report of each service."""
        for number, queue in enumerate(queues):
            yield (
                now + self.lag,
                UpstreamReport(
                    str(number),
                    UpstreamKind.service,
                    's',
                    'z0',
                    self.slots - len(running[number]),
                    waiting=len(queue),
                    slots=self.slots,
                ),
            )

    def serve(
        self, now: float, queues: list[list[float]], running: list[list[float]]
    ) -> Iterator[float]:
        """Finish and start calls; yield the waits of those started."""
        for queue, busy in zip(queues, running, strict=True):
            while busy and busy[0] <= now:
                busy.pop(0)
            while queue and len(busy) < self.slots:
                busy.append(now + self.seconds)
                yield now - queue.pop(0)


def choose(policy: Policy, view: View, rng: random.Random, now: float) -> str:
    request = PlacementRequest(str(rng.random()), 's', 1e9, service=True)
    chosen = policy(view, request, rng, PLACEMENT_SETTINGS, now)
    assert isinstance(chosen, Placement), chosen
    view.commit(request.request_id, chosen.upstream, 0, now)
    return chosen.upstream


@given('{entries:d} entries that see reports of {count:d} services each second')
def start_herd(context: Any, entries: int, count: int) -> None:
    context.herd = HerdSimulation(entries, count)


@when('they place requests at {load:g} of the capacity for {until:g} seconds')
def run_herd(context: Any, load: float, until: float) -> None:
    context.placed = context.herd.run(place_request, load, until)
    context.baseline = context.herd.run(least_outstanding(), load, until)


@then('the longest queue is at most {factor:g} of that of least outstanding')
def check_longest(context: Any, factor: float) -> None:
    longest = (context.placed[0], context.baseline[0])
    assert longest[0] <= factor * longest[1], longest


@then('the 99th percentile of the wait is at most {factor:g} of its')
def check_waits(context: Any, factor: float) -> None:
    found = [
        waits[1:][len(waits) * 99 // 100]
        for waits in (context.placed, context.baseline)
    ]
    assert found[0] <= factor * found[1], found


def report(name: str, kind: UpstreamKind, **changes: Any) -> UpstreamReport:
    made = UpstreamReport(name, kind, 'm', 'z0', 8, 4000, slots=8)
    return attrs.evolve(made, **changes)


def observe_all(
    context: Any, kind: UpstreamKind, count: int, **changes: Any
) -> None:
    for number in range(count):
        name = f'{kind.value}{number}'
        context.view.apply_report(report(name, kind, **changes), context.now)


def try_place(context: Any, **changes: Any) -> Placement | Failure:
    context.count = getattr(context, 'count', 0) + 1
    changed = {'request_id': str(context.count), **changes}
    context.request = attrs.evolve(REQUEST, **changed)
    return place_request(
        context.view,
        context.request,
        context.rng,
        PLACEMENT_SETTINGS,
        context.now,
    )


def request_placement(context: Any, **changes: Any) -> Placement:
    found = try_place(context, **changes)
    assert isinstance(found, Placement), found
    return found


def place_many(context: Any, count: int, **changes: Any) -> list[Placement]:
    found = []
    for _ in range(count):
        found.append(request_placement(context, **changes))
        commit_placement(context.view, found[-1], context.request, context.now)
    return found


@given(
    "{count:d} idle decode and prefill upstreams, one holding a prompt's prefix"
)
def start_pools(context: Any, count: int) -> None:
    context.view = View('z0')
    context.rng = seeded()
    context.now = 0
    observe_all(context, UpstreamKind.decode, count)
    observe_all(context, UpstreamKind.prefill, count)
    holder = report('prefill0', UpstreamKind.prefill, prefixes=DIGESTS)
    context.view.apply_report(holder, context.now)


@when('{count:d} requests with this prefix are placed before the next report')
def place_prompts(context: Any, count: int) -> None:
    observe_all(context, UpstreamKind.decode, 8, slots=64, free_slots=64)
    # Uses fast links, so that only the waits for slots matter.
    for upstream_view in context.view.upstreams.values():
        upstream_view.link.settings = LinkSettings(bytes_per_second=1e13)
    found = place_many(context, count, deadline=100)
    context.prefills = Counter(one.prefill for one in found)


@then('the holder gets between {least:d} and {most:d} of the prefills')
def check_holder(context: Any, least: int, most: int) -> None:
    assert least <= context.prefills['prefill0'] <= most, context.prefills


@when('the holder has {count:d} requests ahead')
def fill_holder(context: Any, count: int) -> None:
    holder = report(
        'prefill0',
        UpstreamKind.prefill,
        prefixes=DIGESTS,
        free_slots=0,
        waiting=count,
    )
    context.view.apply_report(holder, context.now)
    context.prefill = {request_placement(context).prefill for _ in range(20)}


@then('the request is prefilled at the holder')
def check_at_holder(context: Any) -> None:
    assert context.prefill == {'prefill0'}, context.prefill


@then('the request is prefilled elsewhere')
def check_elsewhere(context: Any) -> None:
    assert 'prefill0' not in context.prefill, context.prefill


@when('the decode upstreams hold the prefix as well')
def cache_at_decode(context: Any) -> None:
    observe_all(context, UpstreamKind.decode, 8, prefixes=DIGESTS)


@then('the request has no prefill upstream and no transfer')
def check_local(context: Any) -> None:
    found = request_placement(context)
    assert (found.prefill, found.transfer_bytes) == (None, 0), found


@when('a request has {seconds:g} seconds left')
def place_late(context: Any, seconds: float) -> None:
    context.failure = try_place(context, deadline=context.now + seconds)


@then('it is rejected as unreachable with a retry time')
def check_unreachable(context: Any) -> None:
    assert isinstance(context.failure, DeadlineUnreachable), context.failure
    assert context.failure.retry_at > context.now


@when('every decode upstream has {count:d} requests ahead')
def fill_decodes(context: Any, count: int) -> None:
    observe_all(context, UpstreamKind.decode, 8, free_slots=0, waiting=count)


@then('a request with {seconds:g} seconds left is rejected as overloaded')
def check_overloaded(context: Any, seconds: float) -> None:
    failure = try_place(context, deadline=context.now + seconds)
    assert isinstance(failure, Overloaded), failure
    assert failure.retry_at is not None
    assert failure.retry_at > context.now + 100


@when('the reports of all decode upstreams are stale')
def make_decodes_stale(context: Any) -> None:
    context.now += 4
    observe_all(context, UpstreamKind.prefill, 8)


@then('a request with {seconds:g} seconds left finds no upstream')
def check_none(context: Any, seconds: float) -> None:
    failure = try_place(context, deadline=context.now + seconds)
    assert isinstance(failure, NoUpstream), failure


@given('{count:d} services of which {full:d} have long queues')
def start_services(context: Any, count: int, full: int) -> None:
    start_waiting(context, count, 200)
    free = report('service7', UpstreamKind.service)
    context.view.apply_report(free, context.now)


@when('{count:d} requests with 1 second left are placed')
def place_calls(context: Any, count: int) -> None:
    context.found = [
        request_placement(context, service=True, deadline=1)
        for _ in range(count)
    ]


@then('all of them are placed on the free one')
def check_free(context: Any) -> None:
    names = {one.upstream for one in context.found}
    assert names == {'service7'}, names


@when('the links into all decode upstreams but one are committed')
def commit_links(context: Any) -> None:
    for name, upstream_view in context.view.upstreams.items():
        if name != 'decode3':
            upstream_view.link.admit('other', 15e9, 100, context.now)


@then('the request is decoded on the upstream with the free link')
def check_link(context: Any) -> None:
    names = {request_placement(context, deadline=1).upstream for _ in range(20)}
    assert names == {'decode3'}, names


@given('2 services of which one is cold')
def start_cold(context: Any) -> None:
    start_waiting(context, 2, 0)
    context.view.apply_report(
        report('service0', UpstreamKind.service), context.now
    )
    cold = report('service1', UpstreamKind.service, cold=True)
    context.view.apply_report(cold, context.now)


@when('its cold start ended half of the ramp time ago')
def warm_up(context: Any) -> None:
    context.view.apply_report(
        report('service1', UpstreamKind.service), context.now
    )
    context.now += PLACEMENT_SETTINGS.ramp_seconds / 2


@then('the cold one may use {slots:d} of its 8 slots')
def check_ramp(context: Any, slots: int) -> None:
    upstream_view = context.view.upstreams['service1']
    assert usable_slots(upstream_view, PLACEMENT_SETTINGS, context.now) == slots


@then('a request with {seconds:g} second left is placed on the warm one')
def check_warm(context: Any, seconds: float) -> None:
    for _ in range(20):
        found = request_placement(context, service=True, deadline=seconds)
        assert found.upstream == 'service0', found


@given('{count:d} services with {waiting:d} waiting request each')
def start_waiting(context: Any, count: int, waiting: int) -> None:
    context.view = View('z0')
    context.rng = seeded()
    context.now = 0
    observe_all(
        context, UpstreamKind.service, count, free_slots=0, waiting=waiting
    )


@when('a request is placed')
def place_one(context: Any) -> None:
    context.found = place_many(context, 1, service=True)[0]


@then('it is placed on two different services')
def check_two(context: Any) -> None:
    assert len(set(context.found.upstreams)) == 2, context.found


@then('its release at one leaves the commitment at the other')
def check_release(context: Any) -> None:
    first, second = context.found.upstreams
    context.view.release(context.request.request_id, [first])
    counts = [
        context.view.upstreams[name].committed_slots for name in (first, second)
    ]
    assert counts == [0, 1], counts


@given('{count:d} upstreams in 3 zones')
def make_members(context: Any, count: int) -> None:
    context.members = [
        Member(f'u{number}', f'z{number % 3}') for number in range(count)
    ]


@then(
    'the subset of each of {count:d} entries has {each:d} upstreams '
    'in each zone'
)
def check_zones(context: Any, count: int, each: int) -> None:
    zones = {one.upstream: one.availability_zone for one in context.members}
    context.subsets = {
        f'e{number}': choose_subset(f'e{number}', context.members, each * 3)
        for number in range(count)
    }
    for chosen in context.subsets.values():
        found = Counter(zones[name] for name in chosen)
        assert set(found.values()) == {each}, found
        assert len(found) == 3, found


@then('the removal of an upstream replaces at most one in any subset')
def check_departure(context: Any) -> None:
    left = [one for one in context.members if one.upstream != 'u7']
    for entry, chosen in context.subsets.items():
        changed = set(chosen) - set(choose_subset(entry, left, len(chosen)))
        assert changed <= {'u7'}, changed


@then('every upstream is in {least:d} to {most:d} subsets')
def check_cover(context: Any, least: int, most: int) -> None:
    uses = Counter(
        name for chosen in context.subsets.values() for name in chosen
    )
    assert len(uses) == len(context.members)
    assert least <= min(uses.values()), uses
    assert max(uses.values()) <= most, uses


def chosen_by(context: Any, policy: Policy, count: int) -> list[Placement]:
    found = [
        policy(
            context.view, REQUEST, context.rng, PLACEMENT_SETTINGS, context.now
        )
        for _ in range(count)
    ]
    return [one for one in found if isinstance(one, Placement)]


@then('round robin uses all upstreams evenly')
def check_round_robin(context: Any) -> None:
    found = chosen_by(context, round_robin(), 80)
    for names in (
        Counter(one.upstream for one in found),
        Counter(one.prefill for one in found),
    ):
        assert set(names.values()) == {10}, names


@then('least outstanding avoids the upstream with the most work')
def check_least(context: Any) -> None:
    context.view.commit('x', 'decode0', 1, context.now)
    found = chosen_by(context, least_outstanding(), 1)[0]
    assert found.upstream == 'decode1', found


@then('prefix affinity prefills at the holder')
def check_affinity(context: Any) -> None:
    found = chosen_by(context, prefix_affinity(), 10)
    assert {one.prefill for one in found} == {'prefill0'}, found
