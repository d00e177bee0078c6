"""Checks of what became of a roll-out."""

from __future__ import annotations

from typing import Any

from behave import then
from rollout_world import NEW, OLD, START, THIRD, World, stages
from simulation import SERVICE


def ended_at(world: World, stage: str) -> float:
    found = [at for at, one in world.changes if one.stage.value == stage]
    assert found, world.changes
    return found[-1]


@then('the new version is completed by the deadline')
def check_completed(context: Any) -> None:
    check_end(context, 'completed')


@then('the new version is reverted by the deadline')
def check_reverted(context: Any) -> None:
    check_end(context, 'reverted')


@then('the {which} version is completed')
def check_other(context: Any, which: str) -> None:
    world = context.world
    version = {'old': OLD, 'third': THIRD}[which]
    assert ended_at(world, 'completed')
    _, change = world.changes[-1]
    assert change.order.version == version
    assert world.store[SERVICE].state.value == 'completed'


def check_end(context: Any, state: str) -> None:
    world = context.world
    at = ended_at(world, state)
    assert at <= START + 60, at - START
    if at < world.store_until:
        assert world.store[SERVICE].state.value == state
        assert world.store[SERVICE].version == NEW


@then('nothing runs at an old upstream when it is completed')
def check_drained(context: Any) -> None:
    assert context.world.left_running == 0, context.world.left_running


@then('nothing goes to an old upstream afterwards')
def check_none_old(context: Any) -> None:
    world = context.world
    at = ended_at(world, 'completed')
    late = [one for when, one in world.grants if when > at]
    assert late
    assert {one.upstream.version for one in late} == {NEW}


@then('prefill and decode of each request are of one version')
def check_one_version(context: Any) -> None:
    check_pairs(context.world)


@then('prefill and decode of each request are of one version in all of them')
def check_all_pairs(context: Any) -> None:
    for history in context.histories:
        check_pairs(history)


def check_pairs(world: World) -> None:
    for _, grant in world.grants:
        if grant.prefill is not None:
            assert grant.prefill.version == grant.upstream.version


@then('the new version got no more than its exposure')
def check_exposure(context: Any) -> None:
    world = context.world
    sent = sum(
        one.version == NEW
        for _, grant in world.grants
        for one in (grant.upstream, grant.prefill)
        if one is not None
    )
    until = START + 60
    total = sum(
        when <= until and grant.request.attempt == 1
        for when, grant in world.grants
    )
    context.exposure = (sent, total)
    assert sent <= 0.1 * total + 50, (sent, total)


@then('the new version got no more than its exposure, if it was bad')
def check_bad_exposure(context: Any) -> None:
    if 'reverted' in stages(context.world):
        check_exposure(context)


@then('it got nothing later than 5 seconds after its 50th bad answer')
def check_rollback(context: Any) -> None:
    world = context.world
    last = max(
        when for when, one in world.grants if one.upstream.version == NEW
    )
    bad = sorted(world.bad)
    assert len(bad) < 50 or last <= bad[49] + 5


@then('it got nothing after it was reverted')
def check_stopped(context: Any) -> None:
    world = context.world
    at = ended_at(world, 'reverted')
    late = [
        grant
        for when, grant in world.grants
        if when > at and grant.upstream.version == NEW
    ]
    assert not late, len(late)


@then('at least {count:d} of them are completed')
def check_most(context: Any, count: int) -> None:
    assert context.ends.count('completed') >= count, context.ends


@then('nothing has gone to the new version')
def check_nothing(context: Any) -> None:
    granted = context.world.grants
    versions = {grant.upstream.version for _, grant in granted}
    assert versions == {OLD}, versions


@then('requests have gone to both versions')
def check_both(context: Any) -> None:
    granted = context.world.grants
    versions = {grant.upstream.version for _, grant in granted}
    assert versions == {OLD, NEW}, versions


@then('all requests were placed')
def check_placed(context: Any) -> None:
    world = context.world
    assert len(world.grants) == world.requests, world.rejected


@then('the order is refused because {reason}')
def check_refused(context: Any, reason: str) -> None:
    status = next(iter(context.world.store.values()))
    assert status.refusal.startswith(reason), status
    assert status.state.value == 'reverted'


@then('nothing goes to the new version from a second later on')
def check_taken_back(context: Any) -> None:
    late = [
        grant
        for at, grant in context.world.grants
        if at > context.second_at + 1 and grant.upstream.version == NEW
    ]
    assert not late


@then('the roll-out is still running')
def check_running(context: Any) -> None:
    assert stages(context.world)[-1] in {'canary', 'raising'}


@then('each version got no more than its exposure by the deadline')
def check_all_exposures(context: Any) -> None:
    counts = [exposure_by_deadline(one) for one in context.histories]
    over = [sent - 0.1 * total - 50 for sent, total in counts]
    assert max(over) <= 0, counts


def exposure_by_deadline(world: World) -> tuple[int, int]:
    """Return the sends to the new version and all requests."""
    until = START + 60
    grants = [grant for at, grant in world.grants if at <= until]
    sent = sum(map(sends_to_new, grants))
    return sent, sum(grant.request.attempt == 1 for grant in grants)


def sends_to_new(grant: Any) -> int:
    upstreams = filter(None, (grant.upstream, grant.prefill))
    return sum(one.version == NEW for one in upstreams)


@then('at least {count:d} of them are {state} by the deadline')
def check_ends(context: Any, count: int, state: str) -> None:
    ends = [last_change(history) for history in context.histories]
    in_time = sum(end == state and at <= 60 for end, at in ends)
    assert in_time >= count, ends


def last_change(world: World) -> tuple[str, float]:
    """Return the last stage, and its time in seconds after the order."""
    at, change = world.changes[-1]
    return change.stage.value, at - START
