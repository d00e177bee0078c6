"""Steps of rollouts.feature: both versions serve random requests."""

from __future__ import annotations

from typing import Any

from behave import given, when
from gypsumrelay_rollouts import Order
from rollout_world import (
    NEW,
    OLD,
    START,
    THIRD,
    World,
    add_version,
    run,
    stages,
)
from simulation import SERVICE


@given('{old:d} old and {new:d} new {kind} upstreams')
def give_upstreams(context: Any, old: int, new: int, kind: str) -> None:
    context.world = World(kind)
    add_version(context.world, OLD, old, 0)
    add_version(context.world, NEW, new, 100)


@given('3 plain upstreams of a third version')
def give_third(context: Any) -> None:
    add_version(context.world, THIRD, 3, 200)


@given('an order for {seconds:d} seconds')
def give_order(context: Any, seconds: int) -> None:
    context.world.orders.append((START, Order(SERVICE, NEW, seconds)))


@given('an order for the {which} version at second {second:d}')
def give_second(context: Any, which: str, second: int) -> None:
    version = {'old': OLD, 'third': THIRD}[which]
    order = Order(SERVICE, version, 60)
    context.world.orders.append((START + second, order))
    context.second_at = START + second


@given('an order with an invalid duration at second {second:d}')
def give_invalid(context: Any, second: int) -> None:
    order = Order(SERVICE, NEW, fault='invalid order')
    context.world.orders.append((START + second, order))


@given('an order for the version in force')
def give_in_force(context: Any) -> None:
    context.world.orders.append((START, Order(SERVICE, OLD, 60)))


@given('an order for an unknown service')
def give_unknown(context: Any) -> None:
    context.world.orders.append((START, Order('unknown', NEW, 60)))


@given('an order with an invalid duration')
def give_faulty(context: Any) -> None:
    order = Order(SERVICE, NEW, fault='invalid order')
    context.world.orders.append((START, order))


@when('requests arrive at {rate:d} a second')
def arrive_all(context: Any, rate: int) -> None:
    context.rate = rate
    run(context.world, rate, 110 if hasattr(context, 'second_at') else 80)


@when('requests arrive at {rate:d} a second for {seconds:d} seconds')
def arrive_some(context: Any, rate: int, seconds: int) -> None:
    run(context.world, rate, seconds)


@when('{count:d} histories of requests arrive at {rate:d} a second')
def arrive_histories(context: Any, count: int, rate: int) -> None:
    world = context.world
    context.ends = []
    for seed in range(count):
        history = World(
            world.kind,
            seed,
            world.pool,
            orders=world.orders,
            fails=world.fails,
        )
        run(history, rate, 75)
        context.ends.append(stages(history)[-1])


@when('histories of seeds 1 to {count:d} arrive at {rate:d} a second')
def arrive_seeds(context: Any, count: int, rate: int) -> None:
    """Run each history on its own; a fault may keep no state."""
    world = context.world
    context.histories = []
    for seed in range(1, count + 1):
        history = World(
            world.kind,
            seed,
            world.pool,
            orders=world.orders,
            fails=world.fails,
            slows=world.slows,
        )
        run(history, rate, 61)
        context.histories.append(history)
