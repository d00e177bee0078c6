"""Steps of fairness.feature."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_fairness import (
    Fairness,
    Group,
    GroupKind,
    OrderKey,
    OrderPolicy,
    Rejected,
    Waiting,
    claim_promise,
    consume,
    expire,
    groups_of,
    is_late,
    observe_cost,
    observe_outcome,
    order_key,
    promise_retry,
    urgency,
)

POLICY = OrderPolicy(0.25, 0.2, 0.6)
NOW = 100.0
SERVICE = 'service'
DEADLINE = NOW + 12
LATEST = NOW + 4
# Requests of a group below which its served part is random.
MIN_OFFERED = 60


def new_waiting(number: int = 1, **fields: Any) -> Waiting:
    """Return a waiting request with default values."""
    defaults: dict[str, Any] = {
        'key': (f'r{number}', 1),
        'account': 'account',
        'rate': 1000,
        'rank': 1,
        'arrived_at': NOW,
        'objective_at': NOW + 0.9,
        'cost_ratio': 1,
        'has_begun': False,
        'is_overdrawn': False,
        'has_returned': False,
    }
    return Waiting(**(defaults | fields))


def _key(state: Fairness, waiting: Waiting, now: float = NOW) -> OrderKey:
    return order_key(POLICY, state.shares, state.outcomes, waiting, now)


def _random_waiting(rng: random.Random, number: int) -> Waiting:
    account = f'account-{rng.randrange(4)}'
    rank = rng.randrange(3)
    size = rng.choice(('usual', 'large', 'largest'))
    return new_waiting(
        number,
        account=account,
        rank=rank,
        arrived_at=NOW - rng.randrange(3),
        objective_at=NOW + rng.choice((-1, 0.1, 0.3, 0.9, 2)),
        cost_ratio=rng.choice((0, 0.5, 1, 4)),
        has_begun=rng.random() < 0.1,
        is_overdrawn=rng.random() < 0.1,
        has_returned=rng.random() < 0.1,
        groups=(
            Group(GroupKind.all, SERVICE, ''),
            Group(GroupKind.rank, SERVICE, str(rank)),
            Group(GroupKind.account, SERVICE, account),
            Group(GroupKind.size, SERVICE, f'{rank} {size}'),
        ),
    )


def _random_set(seed: int) -> tuple[Fairness, list[Waiting]]:
    rng = random.Random(seed)
    state = Fairness()
    for _ in range(rng.randrange(40)):
        waiting = _random_waiting(rng, 0)
        served = rng.random() < 0.5
        observe_outcome(state.outcomes, waiting.groups, NOW, served=served)
        consume(state.shares, waiting.account, rng.randrange(9000), NOW)
    return state, [_random_waiting(rng, one) for one in range(12)]


def _sorted(
    state: Fairness, found: list[Waiting], now: float = NOW
) -> list[Waiting]:
    return sorted(found, key=lambda one: _key(state, one, now))


@then('{count:d} random sets of requests have the same order in any sequence')
def check_order(context: Any, count: int) -> None:
    for seed in range(count):
        state, found = _random_set(seed)
        ordered = _sorted(state, found)
        random.Random(seed).shuffle(found)
        assert _sorted(state, found) == ordered, seed


@then('a request in time is before all of lower ranks in {count:d} random sets')
def check_ranks(context: Any, count: int) -> None:
    for seed in range(count):
        _, found = _random_set(seed)
        state = Fairness()
        usual = [
            one
            for one in found
            if not (one.is_overdrawn or one.has_begun)
            and not is_late(POLICY, one, NOW)
        ]
        for one, other in itertools.permutations(usual, 2):
            if one.rank < other.rank:
                assert _key(state, one) < _key(state, other), (one, other)


@given('a late request of rank 0 and requests in time of ranks 0 to 3')
def give_late(context: Any) -> None:
    state = Fairness()
    late = new_waiting(9, rank=0, objective_at=NOW - 1)
    usual = [new_waiting(number, rank=number) for number in range(4)]
    ordered = _sorted(state, [late, *usual])
    context.order = [one.key[0] for one in ordered]


@then('the late one is placed after rank 1 and before rank 3')
def check_late(context: Any) -> None:
    order = context.order
    assert order.index('r1') < order.index('r9') < order.index('r3'), order


@then('a request that has begun is before all others in {count:d} random sets')
def check_begun(context: Any, count: int) -> None:
    for seed in range(count):
        state, found = _random_set(seed)
        ordered = _sorted(state, found)
        begun = [one.has_begun for one in ordered]
        assert begun == sorted(begun, reverse=True), seed


@given('an account that consumed {times:d} times its rate')
def give_hot(context: Any, times: int) -> None:
    context.state = Fairness()
    consume(context.state.shares, 'hot', 4000 * times, NOW)


@then('its request comes after one of an account within its rate')
def check_hot(context: Any) -> None:
    hot = new_waiting(1, account='hot', objective_at=NOW + 0.8)
    other = new_waiting(2)
    assert _key(context.state, other) < _key(context.state, hot)


@then('{seconds:d} seconds later the first due of both comes first')
def check_cooled(context: Any, seconds: int) -> None:
    now = NOW + seconds
    hot = new_waiting(1, account='hot', objective_at=now + 0.8)
    other = new_waiting(2, objective_at=now + 0.9)
    assert _key(context.state, hot, now) < _key(context.state, other, now)


@then(
    'in {count:d} random histories of {seconds:d} seconds no group is served '
    'less than a quarter as often as all, and no size less than half as often '
    'as its rank'
)
def check_starvation(context: Any, count: int, seconds: int) -> None:
    for seed in range(count):
        served, offered = _history(random.Random(seed), seconds)
        whole = Group(GroupKind.all, SERVICE, '')
        overall = served[whole] / offered[whole]
        for group, number in offered.items():
            if number < MIN_OFFERED:
                continue
            lowest = overall / 4
            if group.kind is GroupKind.size:
                kind = Group(GroupKind.rank, SERVICE, group.name[0])
                lowest = served[kind] / offered[kind] / 2
            part = served[group] / number
            assert part >= lowest, (seed, group, part, lowest)


def _history(
    rng: random.Random, seconds: int
) -> tuple[Counter[Group], Counter[Group]]:
    """Serve half of the requests in their order, and count them by group."""
    state = Fairness()
    served: Counter[Group] = Counter()
    offered: Counter[Group] = Counter()
    queue: list[Waiting] = []
    for step in range(seconds * 10):
        now = NOW + step / 10
        queue.extend(_arriving(rng, state, now, step))
        queue = _sorted(state, queue, now)
        done = [(one, True) for one in queue[:1]]
        kept = queue[1:]
        queue = [one for one in kept if one.arrived_at > now - 2]
        done.extend((one, False) for one in kept if one not in queue)
        for one, is_served in done:
            offered.update(one.groups)
            if is_served:
                served.update(one.groups)
                consume(state.shares, one.account, 1000, now)
            observe_outcome(state.outcomes, one.groups, now, served=is_served)
    return served, offered


def _arriving(
    rng: random.Random, state: Fairness, now: float, step: int
) -> list[Waiting]:
    found = []
    for number in range(2):
        rank = rng.choice((0, 0, 0, 1, 2))
        account = rng.choice(('hot', 'hot', 'hot', 'cool', 'calm'))
        cost = rng.lognormvariate(0, 1)
        session = bytes([rng.randrange(8)])
        groups = groups_of(
            state.outcomes, SERVICE, rank, account, session, cost
        )
        observe_cost(state.outcomes, SERVICE, rank, cost)
        found.append(
            new_waiting(
                step * 2 + number,
                account=account,
                rate=3000,
                rank=rank,
                arrived_at=now,
                objective_at=now + 0.9,
                cost_ratio=cost,
                groups=groups,
            )
        )
    return found


def _rejected(number: int, rank: int = 1, account: str = 'account') -> Rejected:
    caller = (number.to_bytes(4), account)
    return Rejected(SERVICE, caller, rank, DEADLINE)


@when(
    '{count:d} callers are rejected at once at a service with {rate:d} grants '
    'a second'
)
def reject_many(context: Any, count: int, rate: int) -> None:
    context.state = Fairness()
    context.times = [
        promise_retry(
            context.state.ledger, _rejected(number), NOW + 1, 1 / rate, NOW
        )
        for number in range(count)
    ]


@then('at most {count:d} caller a second was promised capacity')
def check_spacing(context: Any, count: int) -> None:
    promised = [
        promise.retry_at
        for promise in context.state.ledger.promises[SERVICE]
        if promise.has_capacity
    ]
    assert promised
    for one, other in itertools.pairwise(promised):
        assert other - one >= 0.999 / count, promised


@then(
    'no caller gets a time beyond a third of its time left, or before '
    '{part:g} of that'
)
def check_patience(context: Any, part: float) -> None:
    earliest = NOW + part * (LATEST - NOW)
    times = context.times
    assert all(earliest <= at <= LATEST for at in times), times


@then('in each tenth of the last tenth of that time some return')
def check_spread(context: Any) -> None:
    width = (LATEST - NOW) / 100
    spans = Counter(int((LATEST - at) / width) for at in context.times)
    assert all(spans[number] for number in range(10)), spans


@when('{count:d} callers of rank 2 and then one of rank 0 are rejected')
def reject_ranks(context: Any, count: int) -> None:
    ledger = Fairness().ledger
    context.times = [
        promise_retry(ledger, _rejected(number, 2), NOW + 1, 0.01, NOW)
        for number in range(count)
    ]
    context.highest = promise_retry(
        ledger, _rejected(count, 0), NOW + 1, 0.01, NOW
    )


@then('the one of rank 0 gets the first time')
def check_first(context: Any) -> None:
    assert context.highest <= min(context.times), context.times


@when('a caller is rejected and returns with a new request id')
def reject_one(context: Any) -> None:
    context.ledger = Fairness().ledger
    rejected = _rejected(1)
    context.retry_at = promise_retry(
        context.ledger, rejected, NOW + 1, 0.05, NOW
    )
    # Equal requests before the time and of another account.
    context.others = [
        _claim(context, 'early', 'account', context.retry_at - 1),
        _claim(context, 'foreign', 'other', context.retry_at),
    ]
    context.claimed = [
        _claim(context, 'new', 'account', context.retry_at),
        _claim(context, 'new', 'account', context.retry_at + 0.1),
    ]
    context.equal = _claim(context, 'equal', 'account', context.retry_at + 0.1)


def _claim(context: Any, request_id: str, account: str, now: float) -> Any:
    caller = ((1).to_bytes(4), account)
    return claim_promise(context.ledger, SERVICE, caller, request_id, now)


@then('it is recognised, also if the request is sent again')
def check_recognised(context: Any) -> None:
    assert all(context.claimed), context.claimed


@then('an equal request of another caller is not recognised')
def check_equal(context: Any) -> None:
    assert context.equal is None


@then('one of another account or before the time is not recognised')
def check_others(context: Any) -> None:
    assert context.others == [None, None], context.others


@when('{count:d} callers are rejected')
def fill_ledger(context: Any, count: int) -> None:
    context.ledger = Fairness().ledger
    for number in range(count):
        rejected = attrs.evolve(_rejected(number), service=str(number % 50))
        promise_retry(context.ledger, rejected, NOW + 1, 0.001, NOW)


@then('at most {count:d} promises are kept')
def check_bound(context: Any, count: int) -> None:
    assert 0 < context.ledger.count <= count


@then('{seconds:d} seconds later none is kept')
def check_expired(context: Any, seconds: int) -> None:
    expire(context.ledger, NOW + seconds)
    ledger = context.ledger
    assert not ledger.count
    assert not ledger.promises
    assert not ledger.by_caller


@then(
    'each urgency of a rank is from 0 to 9 and none below that of the rank '
    'above'
)
def check_urgencies(context: Any) -> None:
    states = list(itertools.product((False, True), repeat=2))
    for rank in range(6):
        found = [
            urgency(rank, has_begun=begun, is_pressing=pressing)
            for begun, pressing in states
        ]
        assert all(0 <= one <= 9 for one in found), found
        if rank in {1, 2, 3}:
            above = urgency(rank - 1, has_begun=False, is_pressing=False)
            assert min(found) >= above, (rank, found)
