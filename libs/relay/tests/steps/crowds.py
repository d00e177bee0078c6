"""Steps of membership.feature: fleets of many relays."""

from __future__ import annotations

import random
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_relay.coordination import (
    DIAL_SECONDS,
)
from gypsumrelay_relay.membership import (
    Member,
    Members,
    beat_pause,
    coordinator,
    hear,
    lose,
    with_silence,
)

# Time step of the simulated fleet in seconds.
STEP = 0.05
# Start of the simulated clock in seconds.
STARTED_AT = 100.0


LOST_SHARE = 0.01


@attrs.define
class Crowd:
    """A fleet that sends heartbeats by rank, on a network that loses some."""

    views: dict[str, Members]
    due: dict[str, float]
    rng: random.Random
    now: float = STARTED_AT
    heard: int = 0

    def step(self) -> None:
        """Advance the simulated clock by one step."""
        self.now += STEP
        for name, view in self.views.items():
            if self.due[name] > self.now + STEP / 2:
                continue
            pause = beat_pause(view, self.now)
            self.due[name] = self.now + pause
            self._beat(with_silence(view.own, pause))

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
                lose(view, choice, self.now)
            found.add(choice)
        return found

    def _beat(self, member: Member) -> None:
        for view in self.views.values():
            if self.rng.random() >= LOST_SHARE:
                hear(view, member, self.now)
                self.heard += 1


def new_crowd(count: int) -> Crowd:
    rng = random.Random(count)
    members = [
        Member(f'm{number}', 'a', f'10.0.{number}.1', number)
        for number in range(count)
    ]
    crowd = Crowd(
        {member.name: Members(member) for member in members},
        {member.name: STARTED_AT + rng.random() for member in members},
        rng,
    )
    for view in crowd.views.values():
        for member in members:
            hear(view, member, STARTED_AT)
    return crowd


@given('a fleet of {count:d} relays of which 1 in 100 heartbeats get lost')
def give_crowd(context: Any, count: int) -> None:
    context.crowd = new_crowd(count)


@given('a fleet of {count:d} relays beside it')
def give_larger(context: Any, count: int) -> None:
    context.larger = new_crowd(count)


@when('{seconds:d} seconds pass')
def pass_seconds(context: Any, seconds: int) -> None:
    context.crowd.run(seconds)


@then('all living relays agree for {seconds:d} seconds')
def check_agree(context: Any, seconds: int) -> None:
    until = context.crowd.now + seconds
    while context.crowd.now < until:
        context.crowd.step()
        assert context.crowd.chosen() == {'m0'}, context.crowd.chosen()


@when('the first {count:d} in rank and a third of the others die')
def kill_third(context: Any, count: int) -> None:
    names = list(context.crowd.views)
    dead = names[:count] + names[count + 1 :: 3]
    for name in dead:
        context.crowd.views.pop(name)


@then('all living relays agree within {seconds:d} seconds')
def check_agree_again(context: Any, seconds: int) -> None:
    crowd = context.crowd
    first = next(iter(crowd.views))
    until = crowd.now + seconds
    while crowd.now < until:
        # A relay detects a dead coordinator by a dial that takes this long.
        crowd.run(DIAL_SECONDS)
        crowd.chosen()
    assert crowd.chosen() == {first}, crowd.chosen()


@then(
    'in {seconds:d} seconds a relay of the larger one gets at most '
    '{ratio:g} times as many',
)
def check_heard(context: Any, seconds: int, ratio: float) -> None:
    heard = []
    for crowd in (context.crowd, context.larger):
        # At the start all heartbeats fall close together; later they spread.
        crowd.run(seconds)
        crowd.heard = 0
        crowd.run(seconds)
        heard.append(crowd.heard / len(crowd.views))
    assert heard[1] <= ratio * heard[0], heard
