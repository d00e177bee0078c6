"""Faults of the versions, of the store and of the coordinator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import given
from rollout_world import SINGLE, START, Send


@given('a new version that is {fault}')
def give_fault(context: Any, fault: str) -> None:
    world = context.world
    words = fault.split()
    if fault.endswith('times slower'):
        factor = float(words[0])
        world.slows = lambda send: factor if send.is_new else 1
    elif fault != 'good':
        world.fails = failing(words)


def failing(words: list[str]) -> Callable[[Send], float]:
    """Return which part of the new version's answers are failures."""
    match words:
        case ['failing', 'in', part, *_]:
            return lambda send: int(part) / 100 * send.is_new
        case ['failing', 'from', 'second', second, *_]:
            since = START + int(second)
            return lambda send: 0.5 * (send.is_new and send.at >= since)
        case ['failing', 'under', 'load']:
            return lambda send: 0.6 * (send.is_new and send.running >= 2)
    assert words == ['failing', 'on', 'one', 'route']
    return lambda send: 0.5 * (send.is_new and send.route == 'rare')


@given('all upstreams fail in {part:d} of 100 from second 10 on')
def give_common_failures(context: Any, part: int) -> None:
    context.world.fails = lambda send: part / 100 * (send.at >= START + 10)


@given('all upstreams fail in {part:d} of 100')
def give_noise(context: Any, part: int) -> None:
    context.world.fails = lambda send: part / 100


@given('all upstreams are {factor:d} times slower for 10 seconds')
def give_common_slowness(context: Any, factor: int) -> None:
    context.world.slows = lambda send: (
        factor if START + 15 <= send.at < START + 25 else 1
    )


@given('new upstreams that are slow at first')
def give_cold(context: Any) -> None:
    used: dict[str, float] = {}

    def slows(send: Send) -> float:
        first = used.setdefault(send.one.name, send.at)
        return 6 if send.is_new and send.at < first + 1 else 1

    context.world.slows = slows


@given('a single new upstream that fails always')
def give_single_bad(context: Any) -> None:
    context.world.fails = lambda send: float(send.one.name == SINGLE)


@given('a single new upstream that is {factor:d} times slower')
def give_single_slow(context: Any, factor: int) -> None:
    context.world.slows = lambda send: factor if send.one.name == SINGLE else 1


@given('the store does not answer from second {second:d} on')
def give_outage(context: Any, second: int) -> None:
    context.world.store_until = START + second


@given('the coordinator dies at second {second:d}, relays report')
def give_death(context: Any, second: int) -> None:
    context.world.dies_at = START + second


@given('the coordinator dies at second {second:d}, all relays have ended')
def give_restart(context: Any, second: int) -> None:
    context.world.dies_at = START + second
    context.world.is_reported = False


@given('the old upstreams leave at second {second:d}')
def give_leaving(context: Any, second: int) -> None:
    context.world.leave_at = START + second


@given('the statuses cannot be read')
def give_unread(context: Any) -> None:
    context.world.reads_statuses = False
