"""Steps of versions.feature."""

from __future__ import annotations

import random
from typing import Any, Final

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Grant,
    Phase,
    Rejection,
    SchedulerState,
    ServiceLimits,
    apply_configuration,
    apply_upstreams,
    complete_report,
    end_attempt,
    end_prefill,
    end_read,
    record_starts,
    request_placement,
    restore_starts,
    take_unsaved,
    tick,
)
from gypsumrelay_errors import StreamNotResumable
from gypsumrelay_settings import DispatchSettings
from simulation import SERVICE, Simulation, new_request, token_counts, upstream

VERSIONS: Final = ('v1', 'v2')
MEMORY: Final = 40_000
STREAM: Final = b'stream'
PROMPT: Final = token_counts(3000, 500)
HISTORIES: Final = 300


def add_pool(context: Any, **leaving: Any) -> None:
    """List the upstreams; those whose phase and version fit are leaving."""
    apply_upstreams(
        context.sim.scheduler,
        [
            attrs.evolve(one, leaving=one.leaving or fits(one, leaving))
            for one in context.pool
        ],
        context.sim.now,
    )


def fits(one: Any, fields: dict[str, Any]) -> bool:
    return bool(fields) and all(
        getattr(one, name) == found for name, found in fields.items()
    )


@given(
    'upstreams of two versions, each with 1 prefill and 2 decode upstreams',
)
def give_versions(context: Any) -> None:
    scheduler = new_coordinator(0)
    context.sim = Simulation(scheduler)
    context.pool = [
        upstream(number * 2 + index, phase, 64, version=version)
        for index, version in enumerate(VERSIONS)
        for number, phase in enumerate(
            (Phase.prefill, Phase.decode, Phase.decode)
        )
    ]
    context.versions = {one.name: one.version for one in context.pool}
    scheduler.list_position = 1
    add_pool(context)


@given('the prefill upstreams of "{version}" leave')
def leave_prefill(context: Any, version: str) -> None:
    add_pool(context, version=version, phase=Phase.prefill)


@given('the upstreams of "{version}" leave')
@when('the upstreams of "{version}" leave')
def leave(context: Any, version: str) -> None:
    add_pool(context, version=version)
    context.sim.collect(tick(context.sim.scheduler, context.sim.now))


@given('the decode upstreams of "{version}" have no memory left')
def use_memory(context: Any, version: str) -> None:
    for one in context.pool:
        if fits(one, {'version': version, 'phase': Phase.decode}):
            submit(
                context, **(token_counts(3000, 36_000) | {'version': version})
            )
            sim = context.sim
            sim.now += 1
            key = context.request.key
            sim.collect(
                end_prefill(sim.scheduler, key, Ending.answered, sim.now)
            )
    assert len(context.sim.grants()) == 2


@given('the list of upstreams is too old')
def make_old(context: Any) -> None:
    context.sim.scheduler.list_expires_at = context.sim.now


@given('a stream has begun at "{version}"')
def begin(context: Any, version: str) -> None:
    record_starts(context.sim.scheduler.stream_starts, {STREAM: version})


@given('{count:d} streams have begun at "{version}"')
def begin_many(context: Any, count: int, version: str) -> None:
    context.starts = context.sim.scheduler.stream_starts
    for number in range(count):
        record_starts(context.starts, {number.to_bytes(4): version})


@given('a read of the saved starts is under way')
def begin_read(context: Any) -> None:
    context.read_began_at = context.sim.now
    context.sim.now += 0.1


@given('another instance has not reported to this new coordinator')
def await_report(context: Any) -> None:
    sim = context.sim
    live = frozenset(('entry', 'other'))
    sim.collect(complete_report(sim.scheduler, 'entry', live, sim.now))


def submit(context: Any, **fields: Any) -> None:
    context.request = context.sim.submit(**(PROMPT | fields))


@when('{count:d} prompts bound to "{version}" arrive one after the other')
def arrive_bound(context: Any, count: int, version: str) -> None:
    sim = context.sim
    for _ in range(count):
        submit(context, version=version)
        sim.now += 0.2
        key = context.request.key
        for end in (end_prefill, end_attempt):
            sim.collect(end(sim.scheduler, key, Ending.answered, sim.now))


@when('{count:d} prompts arrive')
def arrive(context: Any, count: int) -> None:
    context.later = [context.sim.submit(**PROMPT).key for _ in range(count)]


@when('a prompt bound to "{version}" arrives')
def arrive_one(context: Any, version: str) -> None:
    submit(context, version=version)


@when('a prompt goes on with it')
@when('a prompt goes on with a stream')
def go_on(context: Any) -> None:
    submit(context, resumes=STREAM)


@when('it is withdrawn')
def withdraw(context: Any) -> None:
    sim = context.sim
    key = context.request.key
    sim.collect(end_attempt(sim.scheduler, key, Ending.cancelled, sim.now))


@when('the saved starts are read, and the stream began at "{version}"')
def read_saved(context: Any, version: str) -> None:
    read(context, {STREAM: version}, context.sim.now)


@when('the saved starts are read without it')
def read_none(context: Any) -> None:
    read(context, {}, context.sim.now)


@when('that read ends')
def end_that_read(context: Any) -> None:
    read(context, {}, context.read_began_at)


def read(context: Any, saved: dict[bytes, str], began_at: float) -> None:
    sim = context.sim
    restore_starts(sim.scheduler.stream_starts, saved, began_at)
    sim.now += 0.01
    sim.collect(tick(sim.scheduler, sim.now))


@when('the store is unavailable')
def fail_read(context: Any) -> None:
    sim = context.sim
    end_read(sim.scheduler, sim.now)
    sim.collect(tick(sim.scheduler, sim.now))


@when('{seconds:g} seconds pass without an answer of the store')
def pass_time(context: Any, seconds: float) -> None:
    sim = context.sim
    sim.now += seconds
    sim.collect(tick(sim.scheduler, sim.now))


@when('that instance reports that the stream began at "{version}"')
def report(context: Any, version: str) -> None:
    sim = context.sim
    record_starts(sim.scheduler.stream_starts, {STREAM: version})
    live = frozenset(('entry', 'other'))
    sim.collect(complete_report(sim.scheduler, 'other', live, sim.now))
    sim.collect(tick(sim.scheduler, sim.now))


def decisions(context: Any) -> list[Any]:
    return list(context.sim.answers.get(context.request.key, []))


def single(found: list[Any]) -> Any:
    assert len(found) == 1, found
    return found[0]


@then('all run, and only at upstreams of "{version}"')
def check_all(context: Any, version: str) -> None:
    grants = context.sim.grants()
    assert len(grants) == context.sim.submitted
    used = {one.name for grant in grants for one in upstreams_of(grant)}
    assert {context.versions[name] for name in used} == {version}, used


def upstreams_of(grant: Grant) -> list[Any]:
    return [one for one in (grant.upstream, grant.prefill) if one is not None]


@then('they run at both versions')
def check_both(context: Any) -> None:
    used = {grant.upstream.version for grant in context.sim.grants()}
    assert used == set(VERSIONS), used


@then('it runs at an upstream of "{version}"')
def check_runs(context: Any, version: str) -> None:
    grant = single(decisions(context))
    assert isinstance(grant, Grant), grant
    assert {one.version for one in upstreams_of(grant)} == {version}


@then('it runs at an upstream of "{version}" without a separate prefill')
def check_direct(context: Any, version: str) -> None:
    check_runs(context, version)
    assert decisions(context)[0].prefill is None


@then('it is rejected at once, without a time to come back')
def check_rejected(context: Any) -> None:
    rejection = single(decisions(context))
    assert isinstance(rejection, Rejection), rejection
    assert isinstance(rejection.failure, StreamNotResumable), rejection
    assert rejection.failure.retry_at is None, rejection


@then('it is rejected at once, with a time to come back')
def check_rejected_for_now(context: Any) -> None:
    rejection = single(decisions(context))
    assert isinstance(rejection, Rejection), rejection
    assert isinstance(rejection.failure, StreamNotResumable), rejection
    assert rejection.failure.retry_at > context.sim.now, rejection


@then('it waits')
def check_waits(context: Any) -> None:
    assert not decisions(context), decisions(context)


@then('the later ones run')
def check_later(context: Any) -> None:
    check_waits(context)
    for key in context.later:
        grant = single(context.sim.answers[key])
        assert isinstance(grant, Grant), grant


@then('nothing runs')
def check_nothing(context: Any) -> None:
    assert not context.sim.grants()
    assert not context.sim.scheduler.unbound


@then('it is handed over to be saved once')
def check_saved_once(context: Any) -> None:
    starts = context.sim.scheduler.stream_starts
    assert take_unsaved(starts) == {STREAM: 'v2'}
    record_starts(starts, {STREAM: 'v2'})
    assert not take_unsaved(starts)


@then('the newest {count:d} are known and the others are not')
def check_bounded(context: Any, count: int) -> None:
    versions = context.starts.versions
    first = 40_000 - count
    assert len(versions) == count == len(context.starts.unsaved)
    assert first.to_bytes(4) in versions
    assert (first - 1).to_bytes(4) not in versions


def new_coordinator(now: float) -> SchedulerState:
    """Return the state of a coordinator without upstreams."""
    scheduler = SchedulerState(DispatchSettings())
    limits = ServiceLimits(SERVICE, memory_tokens=MEMORY)
    apply_configuration(scheduler, [limits], [], now)
    return scheduler


@attrs.define
class History:
    """A random history of instances, their coordinators and the store.

    Attributes:
        began: Version that began each stream.
        known_by: The instances that know each stream and run.
        saved: Starts in the store.
        coordinator: State of the present coordinator.
        bound: Version that each resumed stream was bound to; None if it was
            rejected.
        must_know: Whether each resumed stream was saved, or known to an
            instance that runs.
    """

    rng: random.Random
    began: dict[bytes, str] = attrs.field(factory=dict)
    known_by: dict[int, dict[bytes, str]] = attrs.field(factory=dict)
    saved: dict[bytes, str] = attrs.field(factory=dict)
    coordinator: SchedulerState = attrs.field(
        factory=lambda: new_coordinator(0)
    )
    bound: list[tuple[bytes, str | None, bool]] = attrs.field(factory=list)
    now: float = 100

    def begin(self) -> None:
        """Begin a stream at a random instance and version."""
        digest = len(self.began).to_bytes(4)
        version = self.rng.choice(VERSIONS)
        instance = self.rng.randrange(3)
        self.began[digest] = version
        self.known_by.setdefault(instance, {})[digest] = version
        record_starts(self.coordinator.stream_starts, {digest: version})

    def save(self) -> None:
        """Save what the coordinator hands over."""
        self.saved.update(take_unsaved(self.coordinator.stream_starts))

    def change_coordinator(self) -> None:
        """Start a coordinator that the living instances report to."""
        self.coordinator = new_coordinator(self.now)
        for known in self.known_by.values():
            record_starts(self.coordinator.stream_starts, known)

    def end_instance(self) -> None:
        """End an instance, and with it the coordinator if it is the first."""
        instance = self.rng.randrange(3)
        self.known_by.pop(instance, None)
        if instance == 0:
            self.change_coordinator()

    def end_all(self) -> None:
        """End all instances at once."""
        self.known_by.clear()
        self.change_coordinator()

    def resume(self) -> None:
        """Take up a random stream, or one that never began."""
        digest = self.rng.randrange(len(self.began) + 2).to_bytes(4)
        request = new_request('r', self.now, resumes=digest, **PROMPT)
        scheduler = self.coordinator
        decided = request_placement(scheduler, request, self.now)
        is_known = digest in self.saved or any(
            digest in known for known in self.known_by.values()
        )
        if not decided and scheduler.unbound:
            restore_starts(scheduler.stream_starts, self.saved, self.now)
            decided = tick(scheduler, self.now)
        waiting = [one.request.version for one in scheduler.queue]
        scheduler.queue = []
        version = waiting[0] if waiting else None
        self.bound.append((digest, version, is_known))
        assert bool(waiting) != bool(decided)

    def step(self) -> None:
        """Do something random."""
        self.now += 0.1
        actions = [self.begin, self.resume, self.save]
        weights = [6, 6, 3, 1, 1, 1]
        actions += [self.change_coordinator, self.end_instance, self.end_all]
        self.rng.choices(actions, weights)[0]()


@when(
    '{count:d} random histories of coordinators that end, begin and read are '
    'run',
)
def run_histories(context: Any, count: int) -> None:
    context.histories = [History(random.Random(seed)) for seed in range(count)]
    for history in context.histories:
        for _ in range(60):
            history.step()


@then('no stream is bound to another version than its own')
def check_bound(context: Any) -> None:
    for history in context.histories:
        for digest, version, _ in history.bound:
            assert version in {None, history.began.get(digest)}


@then(
    'each stream that was saved, or is known to a living instance, is bound',
)
def check_known(context: Any) -> None:
    for history in context.histories:
        for digest, version, is_known in history.bound:
            assert not is_known or version == history.began[digest]
    bound = [one for each in context.histories for one in each.bound]
    assert sum(version is not None for _, version, _ in bound) > HISTORIES
