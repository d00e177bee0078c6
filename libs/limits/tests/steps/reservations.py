"""Steps for reservations over the shares of a client account."""

from __future__ import annotations

import random
from typing import Any

import attrs
import machine
from behave import given, then, when
from fleet_model import Fleet, Process
from gypsumrelay_limits import Refused


@given('a fleet with full shares')
def start_fleet(context: Any) -> None:
    context.fleet = Fleet()
    for _ in range(20):
        context.fleet.step(1)
    assert len(context.fleet.platform.shares) == 2
    context.agent = idle_agent(context.fleet)


@given('a fleet whose only agent holds both shares in one epoch')
def start_single_agent(context: Any) -> None:
    context.fleet = Fleet()
    for _ in range(20):
        context.fleet.step(1)
    for process in list(context.fleet.processes.values())[1:]:
        context.fleet.crash(process)
    for _ in range(40):
        context.fleet.step(1)
    context.agent = next(iter(context.fleet.processes.values()))
    shares = context.agent.holder.shares.values()
    assert len(shares) == 2
    assert len({share.epoch for share in shares}) == 1, shares


def idle_agent(fleet: Fleet, index: int = 0) -> Process:
    """Return an agent without shares."""
    idle = [one for one in fleet.processes.values() if not one.holder.shares]
    return idle[index]


def tokens_left(fleet: Fleet) -> float:
    return sum(
        fleet.level(process, number)
        for process in fleet.processes.values()
        for number in range(2)
    )


@when('an agent reserves {tokens:d} tokens as "{name}"')
def reserve(context: Any, tokens: int, name: str) -> None:
    fleet = context.fleet
    context.names = getattr(context, 'names', {})
    context.names[name] = fleet.request(context.agent, tokens)
    fleet.deliver_all()


@when(
    'an agent reserves {tokens:d} tokens as "{name}" '
    'and the first reply is lost',
)
def reserve_with_loss(context: Any, tokens: int, name: str) -> None:
    fleet = context.fleet
    context.names = {name: fleet.request(context.agent, tokens)}
    fleet.deliver()
    assert len(fleet.network) == 1
    fleet.network.clear()
    fleet.step(0.1)
    fleet.deliver_all()


@when(
    'an agent reserves {tokens:d} tokens as "{name}" '
    'and replies take 2 seconds',
)
def reserve_with_delay(context: Any, tokens: int, name: str) -> None:
    fleet = context.fleet
    context.names = {name: fleet.request(context.agent, tokens, 0.25)}
    fleet.deliver()
    for _ in range(20):
        fleet.step(0.1)
    fleet.deliver_all()


@when('the agent crashes and another retries "{name}"')
def retry_elsewhere(context: Any, name: str) -> None:
    other = idle_agent(context.fleet, 1)
    context.fleet.crash(context.agent)
    request_id = context.names[name]
    request = context.fleet.requests[request_id]
    context.fleet.request(other, request.spec.tokens, name=request_id)
    context.fleet.deliver_all()


@when('"{name}" ends with {used:d} tokens used')
def end(context: Any, name: str, used: int) -> None:
    context.fleet.end(context.names[name], used)
    context.fleet.deliver_all()


@when('"{name}" ends with {used:d} tokens used and is retried')
def end_and_retry(context: Any, name: str, used: int) -> None:
    end(context, name, used)
    request_id = context.names[name]
    other = idle_agent(context.fleet, 1)
    context.fleet.request(other, 15, name=request_id)
    context.fleet.deliver_all()


@when(
    '"{name}" ends with {used:d} tokens used and the link loses the settlement',
)
def end_with_loss(context: Any, name: str, used: int) -> None:
    fleet = context.fleet
    fleet.end(context.names[name], used)
    for _, receiver, _ in list(fleet.network):
        fleet.lose_link(context.agent, receiver)
    fleet.deliver_all()


@when(
    'an agent reserves {tokens:d} tokens as "c" '
    'and its first message is duplicated',
)
def reserve_with_duplicate(context: Any, tokens: int) -> None:
    fleet = context.fleet
    context.names['c'] = fleet.request(context.agent, tokens)
    fleet.deliver(keep=True)
    copy = fleet.network.pop(0)
    fleet.deliver_all()
    fleet.step(0.1)
    fleet.now += 1.9
    # A message has the remaining time, and the receiver computes the
    # deadline on arrival: a late duplicate has a later deadline.
    late = attrs.evolve(copy[2], expires_at=fleet.now + 1)
    fleet.send(copy[0], copy[1], late)
    fleet.deliver_all()


@when('an agent reserves {tokens:d} tokens as "a" and its grant is duplicated')
def reserve_with_duplicate_grant(context: Any, tokens: int) -> None:
    fleet = context.fleet
    name = fleet.request(context.agent, tokens)
    fleet.deliver()
    fleet.deliver(keep=True)
    fleet.end(name, 5)
    fleet.deliver()
    fleet.deliver(-1)
    fleet.deliver_all()


@when(
    'an agent reserves {tokens:d} tokens as "c" '
    'and its first refusal is duplicated',
)
def reserve_with_duplicate_refusal(context: Any, tokens: int) -> None:
    fleet = context.fleet
    context.names['c'] = fleet.request(context.agent, tokens)
    copies = []
    for _ in range(4):
        copies.append(fleet.network[0])
        fleet.deliver()
    # The first share that is asked for a partial grant has not replied yet.
    copy = next(
        entry
        for entry in copies
        if isinstance(entry[2], Refused) and entry[2].key.share == 0
    )
    fleet.network.insert(0, copy)
    fleet.deliver()
    fleet.deliver(-1)
    fleet.deliver(-1)
    fleet.deliver_all()


@when('the fleet runs for {seconds:g} seconds')
def wait(context: Any, seconds: float) -> None:
    context.fleet.step(seconds)


@when('{count:d} requests reserve {tokens:d} tokens and are retried later')
def retry_after_refill(context: Any, count: int, tokens: int) -> None:
    context.taken = []
    for number in range(count):
        start_fleet(context)
        fleet = context.fleet
        name = ''
        for _ in range(1 + number):
            fleet.step(4)
            fleet.request(context.agent, 20)
            fleet.deliver_all()
        name = fleet.request(context.agent, tokens)
        fleet.deliver_all()
        fleet.step(4)
        context.names = {'a': name}
        retry_elsewhere(context, 'a')
        context.taken.append(40 - round(tokens_left(fleet)))


@when('the agent and one holder crash and another retries "{name}"')
def retry_without_holder(context: Any, name: str) -> None:
    fleet = context.fleet
    holders = [one for one in fleet.processes.values() if one.holder.shares]
    fleet.crash(holders[0])
    retry_elsewhere(context, name)
    for _ in range(10):
        fleet.step(0.1)
        fleet.deliver_all()


@when(
    'two agents reserve {tokens:d} tokens each '
    'in any of {orders:d} message orders',
)
def reserve_concurrently(context: Any, tokens: int, orders: int) -> None:
    context.admitted = []
    for seed in range(orders):
        rng = random.Random(seed)
        start_fleet(context)
        fleet = context.fleet
        fleet.request(context.agent, tokens)
        fleet.request(idle_agent(fleet, 1), tokens)
        for _ in range(60):
            while fleet.network:
                fleet.deliver(rng.randrange(len(fleet.network)))
            if fleet.counts['admitted']:
                break
            fleet.step(0.02)
        for _ in range(3):
            fleet.step(0.5)
            fleet.deliver_all()
        context.admitted.append(fleet.counts['admitted'])


@when(
    'an agent reserves {tokens:d} tokens {count:d} times '
    'at {part:g} of the rate',
)
def reserve_within_rate(
    context: Any,
    tokens: int,
    count: int,
    part: float,
) -> None:
    for _ in range(count):
        name = context.fleet.request(context.agent, tokens)
        context.fleet.deliver_all()
        context.fleet.end(name, tokens)
        context.fleet.step(tokens / part / 10)


@then('"{name}" is admitted')
def check_admitted(context: Any, name: str) -> None:
    assert context.fleet.requests[context.names[name]].admitted


@then('"{name}" is admitted after {count:d} messages')
def check_admitted_after(context: Any, name: str, count: int) -> None:
    check_admitted(context, name)
    assert context.fleet.counts['messages'] == count, context.fleet.counts


@then('"{name}" is rejected with "{code}"')
def check_rejected(context: Any, name: str, code: str) -> None:
    failure = context.fleet.requests[context.names[name]].failure
    assert failure.code == code, failure
    assert failure.outcome.value == 'not_run'


@then('"{name}" is rejected with "{code}" and {seconds:g} seconds to wait')
def check_retry(context: Any, name: str, code: str, seconds: float) -> None:
    check_rejected(context, name, code)
    request = context.fleet.requests[context.names[name]]
    assert request.failure.retry_at == context.fleet.now + seconds


@then('{tokens:d} tokens are left in all shares')
def check_tokens_left(context: Any, tokens: int) -> None:
    assert round(tokens_left(context.fleet)) == tokens, tokens_left(
        context.fleet,
    )


@then('{tokens:d} tokens are charged to "{name}"')
def check_charged(context: Any, tokens: int, name: str) -> None:
    charged = sum(
        charge.tokens - charge.refunded
        for charge in context.fleet.charges.values()
        if charge.request == context.names[name]
    )
    assert charged == tokens, charged


@then('every time exactly one is admitted')
def check_one_admitted(context: Any) -> None:
    assert set(context.admitted) == {1}, context.admitted


@then('no retry takes tokens')
def check_not_taken(context: Any) -> None:
    assert set(context.taken) == {0}, context.taken


@then('no part of "{name}" is refunded')
def check_not_refunded(context: Any, name: str) -> None:
    check_rejected(context, name, 'rate_exceeded')
    for charge in context.fleet.charges.values():
        assert charge.refunded == 0, charge


@then('a reservation takes at most {most:g} messages')
def check_messages(context: Any, most: float) -> None:
    counts = context.fleet.counts
    assert counts['messages'] <= most * counts['admitted'], counts


@then('nothing is rejected')
def check_none_rejected(context: Any) -> None:
    assert context.fleet.counts['admitted'] == 300, context.fleet.counts


@then(
    '{runs:d} runs of {steps:d} random steps under full load '
    'agree with the oracle',
)
def check_loaded_machine(context: Any, runs: int, steps: int) -> None:
    totals = machine.run(machine.LoadedFleetMachine, runs, steps)
    # Ensures that the runs grant tokens and move shares.
    assert totals['runs'] >= runs
    assert totals['taken'] > runs * 10, totals
    assert totals['assigned'] > runs * 3, totals


@then('{runs:d} runs of {steps:d} random steps agree with the oracle')
def check_machine(context: Any, runs: int, steps: int) -> None:
    totals = machine.run(machine.FleetMachine, runs, steps)
    assert totals['runs'] >= runs
    assert totals['admitted'] > runs, totals
    assert totals['checked rejections'] > runs, totals
