"""Steps of membership.feature: fleets of many relays."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_relay.coordination.links import DIAL_SECONDS
from gypsumrelay_relay.membership import (
    Member,
    Members,
    coordinator,
    heartbeat_interval,
    mark_unreachable,
    record_heartbeat,
    with_timeout,
)

# Time step of the simulated fleet in seconds.
STEP = 0.05
# Start of the simulated clock in seconds.
STARTED_AT = 100.0


LOST_SHARE = 0.01


@attrs.define
class Fleet:
    """A fleet that sends heartbeats by rank, on a network that loses some."""

    views: dict[str, Members]
    due: dict[str, float]
    rng: random.Random
    now: float = STARTED_AT
    received: int = 0

    def step(self) -> None:
        """Advance the simulated clock by one step."""
        self.now += STEP
        for name, view in self.views.items():
            if self.due[name] > self.now + STEP / 2:
                continue
            pause = heartbeat_interval(view, self.now)
            self.due[name] = self.now + pause
            self._send_heartbeat(with_timeout(view.own, pause))

    def run(self, seconds: float) -> None:
        """Advance the simulated clock."""
        for _ in range(round(seconds / STEP)):
            self.step()

    def chosen(self) -> set[str]:
        """Return the chosen coordinators; mark dead ones as unreachable."""
        found = set()
        for view in self.views.values():
            choice = coordinator(view, self.now).name
            if choice not in self.views:
                mark_unreachable(view, choice, self.now)
            found.add(choice)
        return found

    def _send_heartbeat(self, member: Member) -> None:
        for view in self.views.values():
            if self.rng.random() >= LOST_SHARE:
                record_heartbeat(view, member, self.now)
                self.received += 1


def new_fleet(count: int) -> Fleet:
    rng = random.Random(count)
    members = [
        Member(f'm{number}', 'a', f'10.0.{number}.1', number)
        for number in range(count)
    ]
    fleet = Fleet(
        {member.name: Members(member) for member in members},
        {member.name: STARTED_AT + rng.random() for member in members},
        rng,
    )
    for view in fleet.views.values():
        for member in members:
            record_heartbeat(view, member, STARTED_AT)
    return fleet


@given('a fleet of {count:d} relays of which 1 in 100 heartbeats get lost')
def give_fleet(context: Any, count: int) -> None:
    context.fleet = new_fleet(count)


@given('a fleet of {count:d} relays beside it')
def give_larger(context: Any, count: int) -> None:
    context.larger = new_fleet(count)


@when('{seconds:d} seconds pass')
def pass_seconds(context: Any, seconds: int) -> None:
    context.fleet.run(seconds)


@then('all living relays agree for {seconds:d} seconds')
def check_agree(context: Any, seconds: int) -> None:
    until = context.fleet.now + seconds
    while context.fleet.now < until:
        context.fleet.step()
        assert context.fleet.chosen() == {'m0'}, context.fleet.chosen()


@when('the first {count:d} in rank and a third of the others die')
def kill_third(context: Any, count: int) -> None:
    names = list(context.fleet.views)
    dead = names[:count] + names[count + 1 :: 3]
    for name in dead:
        context.fleet.views.pop(name)


@then('all living relays agree within {seconds:d} seconds')
def check_agree_again(context: Any, seconds: int) -> None:
    fleet = context.fleet
    first = next(iter(fleet.views))
    until = fleet.now + seconds
    while fleet.now < until:
        # A relay detects a dead coordinator by a dial that takes this long.
        fleet.run(DIAL_SECONDS)
        fleet.chosen()
    assert fleet.chosen() == {first}, fleet.chosen()


@then(
    'in {seconds:d} seconds a relay of the larger one gets at most '
    '{ratio:g} times as many',
)
def check_heard(context: Any, seconds: int, ratio: float) -> None:
    received = []
    for fleet in (context.fleet, context.larger):
        # At the start all heartbeats fall close together; later they spread.
        fleet.run(seconds)
        fleet.received = 0
        fleet.run(seconds)
        received.append(fleet.received / len(fleet.views))
    assert received[1] <= ratio * received[0], received
