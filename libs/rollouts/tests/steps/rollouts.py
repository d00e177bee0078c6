"""Steps of rollouts.feature."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when
from gypsumrelay_rollouts import (
    Answer,
    Bounds,
    Evidence,
    Exposure,
    Order,
    Report,
    Rollout,
    Rollouts,
    Situation,
    Stage,
    State,
    Status,
    Totals,
    advance,
    advance_all,
    allowance,
    apply_orders,
    apply_report,
    apply_statuses,
    apply_versions,
    count_grant,
    find_bad,
    may_place,
    may_use,
    observe,
    set_leading,
    summarize,
    suspects,
)
from gypsumrelay_rollouts.evidence import restore

SERVICE: Final = 'service'
NOW: Final = 100.0
BOUNDS: Final = Bounds(0.1, 50, enabled=True)
STATES: Final = {'refused': State.reverted}


@given(
    '{requests:d} requests and {sent:d} sends under a share of 0.1 and a slack '
    'of 50'
)
def give_exposure(context: Any, requests: int, sent: int) -> None:
    context.exposure = Exposure(requests, sent)


@given('the counts are {counts}')
def give_counts(context: Any, counts: str) -> None:
    context.exposure.is_partial = counts == 'partial'
    context.in_doubt = counts == 'in doubt'


@then('{allowed:g} more sends are allowed')
def check_allowance(context: Any, allowed: float) -> None:
    found = allowance(context.exposure, BOUNDS, in_doubt=context.in_doubt)
    assert abs(found - allowed) < 0.001, found


def add_answers(
    context: Any,
    upstreams: list[str],
    bad: int,
    total: int,
    *,
    is_new: bool,
    route: str = 'route',
) -> None:
    if not hasattr(context, 'evidence'):
        context.evidence = Evidence()
    for number in range(total):
        name = upstreams[number % len(upstreams)]
        answer = Answer(name, is_new, route, 'plain', number < bad)
        observe(context.evidence, answer, NOW)


@given('{bad:d} of {total:d} answers of the old version are bad')
def give_old(context: Any, bad: int, total: int) -> None:
    add_answers(context, ['old'], bad, total, is_new=False)
    context.upstreams = ['new-0', 'new-1']


@given(
    '{bad:d} of {total:d} answers of {upstreams:d} new upstreams are bad',
)
def give_new(context: Any, bad: int, total: int, upstreams: int) -> None:
    context.upstreams = [f'new-{number}' for number in range(upstreams)]
    add_answers(context, context.upstreams, bad, total, is_new=True)


@given(
    '{bad:d} of {total:d} answers of one new upstream are bad, and 0 of 10 of '
    'another'
)
def give_single(context: Any, bad: int, total: int) -> None:
    add_answers(context, ['new-0'], bad, total, is_new=True)
    add_answers(context, ['new-1'], 0, 10, is_new=True)


@given(
    'on route "{route}" {old_bad:d} of {old:d} old and {new_bad:d} of {new:d} '
    'new answers are bad'
)
def give_route(
    context: Any, route: str, old_bad: int, old: int, new_bad: int, new: int
) -> None:
    context.upstreams = ['new-0', 'new-1']
    add_answers(context, ['old'], old_bad, old, is_new=False, route=route)
    add_answers(
        context, context.upstreams, new_bad, new, is_new=True, route=route
    )


@then('the new version is {verdict}')
def check_verdict(context: Any, verdict: str) -> None:
    several = len(context.upstreams) > 1
    alternatives = frozenset(context.upstreams if several else ())
    found = find_bad(summarize(context.evidence), alternatives)
    assert (found is not None) == (verdict == 'bad'), found


@then('the first new upstream is a suspect')
def check_suspect(context: Any) -> None:
    assert suspects(summarize(context.evidence)) == {'new-0'}


@when('a new upstream with {count:d} requests crashes')
def crash(context: Any, count: int) -> None:
    for _ in range(count):
        answer = Answer(
            'new-0', True, 'route', 'plain', failed=True, is_crash=True
        )
        observe(context.evidence, answer, NOW)


@then('{count:d} bad answer is counted')
def check_counted(context: Any, count: int) -> None:
    tallies = summarize(context.evidence).tallies.values()
    assert sum(tally.bad for tally in tallies) == count


@given('{count:d} answers of the old version took 1 second each')
def give_times(context: Any, count: int) -> None:
    context.evidence = Evidence()
    for _ in range(count):
        answer = Answer('old', False, 'route', 'plain', False, 1.0)
        observe(context.evidence, answer, NOW)


@when(
    'an answer of a new upstream that has given {before:d} answers takes '
    '{seconds:g} seconds'
)
def answer_slowly(context: Any, before: int, seconds: float) -> None:
    for _ in range(before):
        answer = Answer('new-0', True, 'route', 'plain', False, 1.0)
        observe(context.evidence, answer, NOW)
    slow = Answer('new-0', True, 'route', 'plain', False, seconds)
    observe(context.evidence, slow, NOW + 10)


@then('it counts as {verdict}')
def check_slow(context: Any, verdict: str) -> None:
    tallies = summarize(context.evidence).tallies.values()
    assert sum(tally.bad for tally in tallies) == (verdict == 'bad')


@given(
    'an order for "{version}" in a service whose upstreams are of "v1" and "v2"'
)
def give_rollout(context: Any, version: str) -> None:
    rollouts = Rollouts(BOUNDS)
    order = Order(SERVICE, version, 60)
    apply_orders(rollouts, {SERVICE: order}, NOW)
    apply_versions(rollouts, {SERVICE: {'v1', 'v2'}}, NOW)
    set_leading(rollouts, is_leading=True)
    context.rollouts = rollouts


@when('a new coordinator reads the status {state} of {version}')
@when('it reads the status {state} of {version} later')
def read_status(context: Any, state: str, version: str) -> None:
    status = Status(
        SERVICE,
        version,
        STATES.get(state) or State(state),
        60,
        refusal='unknown service' if state == 'refused' else '',
    )
    apply_statuses(context.rollouts, {SERVICE: status}, 0)
    situation = Situation(0, True, frozenset())
    advance_all(context.rollouts, {SERVICE}, lambda _: situation, NOW)


@when('relays report {first:d} and {second:d} sends of {requests:d} requests')
def report(context: Any, first: int, second: int, requests: int) -> None:
    for name, sent in (('relay-0', first), ('relay-1', second)):
        found = Report(SERVICE, 'v2', requests, sent, sent, 0)
        apply_report(context.rollouts, name, found)


@when('relays report {first} and then {second} counts')
def report_counts(context: Any, first: str, second: str) -> None:
    for name, counts in (('relay-0', first), ('relay-1', second)):
        is_partial = counts == 'partial'
        found = Report(
            SERVICE, 'v2', 400, 12, 12, 0, Totals(), is_partial=is_partial
        )
        apply_report(context.rollouts, name, found)


@then('new requests may go to {versions}')
def check_versions(context: Any, versions: str) -> None:
    found = [
        version
        for version in ('v1', 'v2')
        if may_use(context.rollouts, SERVICE, version)
    ]
    assert ' and '.join(found) == versions, found


def rollout_of(context: Any) -> Rollout:
    found: Rollout = context.rollouts.current[SERVICE]
    return found


@then('the roll-out is {stage}')
def check_stage(context: Any, stage: str) -> None:
    found = rollout_of(context).stage.value
    assert found == stage, found


@then('a request that is bound to "{version}" waits')
def check_waits(context: Any, version: str) -> None:
    assert may_use(context.rollouts, SERVICE, version)
    assert not may_place(context.rollouts, SERVICE, version)


@then('it counts {count:d} sends')
def check_sends(context: Any, count: int) -> None:
    assert rollout_of(context).exposure.sent == count


@then('its counts are {counts}')
def check_counts(context: Any, counts: str) -> None:
    exposure = rollout_of(context).exposure
    assert exposure.is_partial == (counts == 'partial')


@when(
    'relays report {answers:d} good answers, {slow:d} of them slow, and '
    '{old_slow:d} slow of {old:d} old ones'
)
def report_times(
    context: Any, answers: int, slow: int, old_slow: int, old: int
) -> None:
    totals = Totals(slow, old, old_slow)
    half = answers // 2
    for name in ('relay-0', 'relay-1'):
        found = Report(SERVICE, 'v2', 400, answers, half, 0, totals)
        apply_report(context.rollouts, name, found)
    context.evidence = rollout_of(context).evidence
    context.upstreams = ['new-0']


@when('the evidence is judged again after {seconds:g} seconds')
def judge_again(context: Any, seconds: float) -> None:
    rollouts = Rollouts(BOUNDS)
    rollout = Rollout(Order(SERVICE, 'v2', 60), NOW + 60, Stage.canary)
    rollout.evidence = context.evidence
    rollouts.current[SERVICE] = rollout
    context.rollouts = rollouts
    situation = Situation(0, True, frozenset(context.upstreams))
    for now in (NOW, NOW + seconds):
        advance(rollout, situation, BOUNDS, now)


@given('a roll-out with {quality} answers in the stage {stage}, {direction}')
def give_staged(context: Any, quality: str, stage: str, direction: str) -> None:
    context.upstreams = ['new-0', 'new-1']
    add_answers(context, ['old'], 0, 200, is_new=False)
    bad = 3 if quality == 'doubtful' else 0
    add_answers(context, context.upstreams, bad, 40, is_new=True)
    rollout = Rollout(Order(SERVICE, 'v2', 60), NOW + 60, Stage(stage))
    rollout.changed_at = NOW
    rollout.share = 0.25
    rollout.evidence = context.evidence
    rollout.is_trusted = direction == 'taken back'
    context.rollouts = Rollouts(BOUNDS)
    context.rollouts.current[SERVICE] = rollout


@given('{running:d} old requests, {phases} phases and a store that is {store}')
def give_situation(context: Any, running: int, phases: str, store: str) -> None:
    context.situation = Situation(
        running,
        phases == 'all',
        frozenset(context.upstreams),
        store == 'available',
    )


@when('it is judged {left:g} seconds before the deadline')
def judge_late(context: Any, left: float) -> None:
    rollout = rollout_of(context)
    # The share is not due to be raised.
    rollout.changed_at = rollout.deadline - left - 0.6
    advance(rollout, context.situation, BOUNDS, rollout.deadline - left)


@when('a request is granted {left:g} seconds before the deadline')
def grant_late(context: Any, left: float) -> None:
    rollout = rollout_of(context)
    now = rollout.deadline - left
    count_grant(rollout, to_new=0, sends=1, is_first=True, now=now)


@then('{count:d} request is counted')
def check_requests(context: Any, count: int) -> None:
    assert rollout_of(context).exposure.requests == count


@given('a relay reports {bad:d} failures of {answers:d} answers')
def give_reported(context: Any, bad: int, answers: int) -> None:
    restore(context.evidence, 'relay-0', answers, bad)


@then('its share is not raised')
def check_share(context: Any) -> None:
    rollout = rollout_of(context)
    assert rollout.in_doubt
    assert not rollout.share
