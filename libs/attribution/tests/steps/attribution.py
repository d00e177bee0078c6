"""Steps of attribution.feature."""

from __future__ import annotations

import itertools
import random
import time
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_attribution import (
    AttributionLimits,
    Content,
    Crash,
    CrashHistory,
    Loss,
    PendingLosses,
    admit,
    confirm_crash,
    merge_crash,
    record_completion,
    record_loss,
    refresh_causes,
    start_trial,
)

LIMITS = AttributionLimits()
INTERVAL_SECONDS = 1.2
REPEATED = b'repeated'


@attrs.define
class Fleet:
    """A crash history with its clock."""

    history: CrashHistory = attrs.field(factory=CrashHistory)
    now: float = 1000
    numbers: Any = attrs.field(factory=itertools.count)

    def content(self, parts: str) -> Content:
        """Return a new content with parts that are separated by commas."""
        digest = b'content %d' % next(self.numbers)
        return Content(digest, digests(parts))

    def crash(self, *started: Content, answered: str = '') -> None:
        """Crash an upstream that starts requests."""
        crash = Crash(f'upstream-{next(self.numbers)}', self.now)
        for content in started:
            crash.add(content, began=False)
        if answered:
            crash.add(self.content(answered), began=True)
        merge_crash(self.history, crash)

    def complete(self, parts: str, started_at: float) -> None:
        """Complete a request."""
        content = self.content(parts)
        record_completion(self.history, content, started_at)

    def is_admitted(self, content: Content) -> bool:
        """Return whether a request may run, also as a trial."""
        admission = admit(self.history, content, LIMITS, self.now)
        return admission.rejected_until is None


def digests(parts: str) -> tuple[bytes, ...]:
    return tuple(part.strip().encode() for part in parts.split(','))


def fleet_of(context: Any) -> Fleet:
    if 'fleet' not in context:
        context.fleet = Fleet()
    fleet: Fleet = context.fleet
    return fleet


@given('parts "{parts}" that upstreams complete')
def give_completed(context: Any, parts: str) -> None:
    fleet = fleet_of(context)
    fleet.complete(parts, fleet.now)
    fleet.now += INTERVAL_SECONDS


@when('an upstream crashes as it starts a prompt with "{parts}"')
def crash_once(context: Any, parts: str) -> None:
    fleet = fleet_of(context)
    fleet.crash(fleet.content(parts))
    fleet.now += INTERVAL_SECONDS


@when(
    '{count:d} upstreams crash as each starts another prompt with "{parts}" '
    'beside the same prompt with "{sound}"',
)
def crash_beside(context: Any, count: int, parts: str, sound: str) -> None:
    fleet = fleet_of(context)
    context.prompt = fleet.content(sound)
    for _ in range(count):
        fleet.crash(context.prompt, fleet.content(parts))
        fleet.now += INTERVAL_SECONDS


@when(
    '{count:d} upstreams crash as each starts another prompt with "{parts}" '
    'beside an answered prompt with "{answered}"',
)
def crash_answering(
    context: Any, count: int, parts: str, answered: str
) -> None:
    fleet = fleet_of(context)
    for _ in range(count):
        fleet.crash(fleet.content(parts), answered=answered)
        fleet.now += INTERVAL_SECONDS


@when('{count:d} upstreams crash as each starts another prompt with "{parts}"')
def crash_each(context: Any, count: int, parts: str) -> None:
    for _ in range(count):
        crash_once(context, parts)


@when('{count:d} upstreams crash as each starts the same prompt with "{parts}"')
def crash_same(context: Any, count: int, parts: str) -> None:
    fleet = fleet_of(context)
    context.prompt = fleet.content(parts)
    for _ in range(count):
        fleet.crash(context.prompt)
        fleet.now += INTERVAL_SECONDS


@when(
    '{count:d} upstreams crash at once as each starts another prompt with '
    '"{parts}"',
)
def crash_together(context: Any, count: int, parts: str) -> None:
    fleet = fleet_of(context)
    for _ in range(count):
        fleet.crash(fleet.content(parts))
        fleet.now += 0.04


@when('upstreams complete a prompt with "{parts}"')
def complete(context: Any, parts: str) -> None:
    fleet = fleet_of(context)
    fleet.complete(parts, fleet.now)


@when(
    'upstreams complete a prompt with "{parts}" that started before the '
    'crashes',
)
def complete_old(context: Any, parts: str) -> None:
    fleet = fleet_of(context)
    started_at = fleet.history.crashes[0].at - 1
    content = Content(b'old', digests(parts))
    record_completion(fleet.history, content, started_at)


@when('{seconds:g} seconds pass')
def wait(context: Any, seconds: float) -> None:
    fleet_of(context).now += seconds - INTERVAL_SECONDS


@then('prompts with "{parts}" are rejected')
def check_rejected(context: Any, parts: str) -> None:
    fleet = fleet_of(context)
    assert not fleet.is_admitted(fleet.content(parts)), fleet.history.causes


@then('prompts with "{parts}" are admitted')
def check_admitted(context: Any, parts: str) -> None:
    fleet = fleet_of(context)
    assert fleet.is_admitted(fleet.content(parts)), fleet.history.causes


@then('that prompt is rejected')
def check_same_rejected(context: Any) -> None:
    assert not fleet_of(context).is_admitted(context.prompt)


@then('that prompt is admitted')
def check_same_admitted(context: Any) -> None:
    assert fleet_of(context).is_admitted(context.prompt)


@then('one of {count:d} prompts with "{parts}" runs as a trial')
def check_trial(context: Any, count: int, parts: str) -> None:
    fleet = fleet_of(context)
    trials = 0
    for _ in range(count):
        content = fleet.content(parts)
        admission = admit(fleet.history, content, LIMITS, fleet.now)
        if admission.is_trial:
            trials += 1
            start_trial(fleet.history, content, LIMITS, fleet.now)
    assert trials == 1, trials


@then(
    'a part that crashes each upstream for {seconds:d} seconds runs at most '
    '{most:d} times after its fifth crash',
)
def check_few_trials(context: Any, seconds: int, most: int) -> None:
    fleet = fleet_of(context)
    runs = 0
    for _ in range(seconds * 10):
        content = fleet.content('manual, broken')
        if fleet.is_admitted(content):
            runs += 1
            start_trial(fleet.history, content, LIMITS, fleet.now)
            fleet.crash(content)
        fleet.now += 0.1
    assert 3 < runs <= 5 + most, runs


@then(
    '{count:d} random sets of crash reports give the same causes shuffled and '
    'repeated',
)
def check_order(context: Any, count: int) -> None:
    for seed in range(count):
        rng = random.Random(seed)
        reports = [random_crash(rng, number) for number in range(12)]
        expected = merged(reports)
        shuffled = [*reports, *reports[:6]]
        rng.shuffle(shuffled)
        assert merged(shuffled) == expected, seed


def random_crash(rng: random.Random, number: int) -> Crash:
    crash = Crash(f'upstream-{number}', 1000 + 2.0 * number)
    for _ in range(rng.randrange(1, 4)):
        parts = rng.sample(('manual', 'broken', 'faulty', 'session'), 2)
        digest = b'%d' % rng.randrange(8)
        crash.add(
            Content(digest, digests(','.join(parts))),
            began=rng.random() < 0.2,
        )
    return crash


def merged(reports: list[Crash]) -> set[bytes]:
    history = CrashHistory()
    for crash in reports:
        merge_crash(history, crash)
    refresh_causes(history, LIMITS, 1030)
    return set(history.causes)


@then(
    'in {count:d} random fleets each crashing part runs at most {most:d} times '
    'and sound prompts run in the end',
)
def check_fleets(context: Any, count: int, most: int) -> None:
    for seed in range(count):
        check_fleet(seed, most)


def check_fleet(seed: int, most: int) -> None:
    """Run prompts with and without crashing parts for two minutes."""
    rng = random.Random(seed)
    fleet = Fleet()
    broken = ['broken', 'faulty'][: 1 + seed % 2]
    runs = dict.fromkeys(broken, 0)
    running: list[Content] = []
    admitted = 0
    for step in range(1200):
        fleet.now += 0.1
        is_bad = step > 50 and rng.random() < 0.3
        part = rng.choice(broken) if is_bad else f'{rng.randrange(9)}'
        content = fleet.content(f'manual-{rng.randrange(2)}, {part}')
        admission = admit(fleet.history, content, LIMITS, fleet.now)
        if admission.rejected_until is not None:
            continue
        start_trial(fleet.history, content, LIMITS, fleet.now)
        if part in runs:
            runs[part] += 1
        elif step > 1000:
            admitted += 1
        running = [*running, content][-3:]
        if part in runs or rng.random() < 0.01:
            fleet.crash(*running)
            running = []
        else:
            started_at = fleet.now - 0.05
            record_completion(fleet.history, content, started_at)
    assert max(runs.values()) <= most, (seed, runs)
    assert admitted > 100, (seed, admitted)


@when(
    '{count:d} prompts with invented parts are completed and {crashes:d} '
    'upstreams crash as they start others',
)
def flood(context: Any, count: int, crashes: int) -> None:
    fleet = fleet_of(context)
    for number in range(count):
        fleet.complete(f'invented-{number}', fleet.now)
    for number in range(crashes):
        fleet.crash(fleet.content(f'other-{number}, more-{number}'))
        fleet.now += 0.01


@then(
    'at most {parts:d} completed parts and {crashes:d} crashes are stored',
)
def check_bounds(context: Any, parts: int, crashes: int) -> None:
    history = fleet_of(context).history
    assert 0 < len(history.completed) <= parts
    assert 0 < len(history.crashes) <= crashes
    assert len(history.suspected_at) <= crashes * 3


@then('at most {count:d} crashes wait to be reported')
def check_unreported(context: Any, count: int) -> None:
    changed = fleet_of(context).history.changed
    assert 0 < len(changed) <= count, len(changed)


@then('none of the crashes is stored after the time of their attribution')
def check_expired(context: Any) -> None:
    fleet = fleet_of(context)
    fleet.now += LIMITS.retention_seconds
    assert fleet.is_admitted(fleet.content('any'))
    assert not fleet.history.crashes
    assert not fleet.history.suspected_at


@when(
    '{count:d} upstreams crash at once as each starts {started:d} prompts with '
    '{sessions:d} sessions in all',
)
def crash_zone(context: Any, count: int, started: int, sessions: int) -> None:
    fleet = fleet_of(context)
    rng = random.Random(count)
    for _ in range(count):
        parts = [rng.randrange(sessions) for _ in range(started)]
        fleet.crash(*(fleet.content(f'session-{part}') for part in parts))
        fleet.now += 0.01


@then('no content or part is rejected')
def check_no_cause(context: Any) -> None:
    fleet = fleet_of(context)
    fleet.is_admitted(fleet.content('any'))
    assert not fleet.history.causes, fleet.history.causes


@when(
    '{count:d} upstreams with {requests:d} requests each crash, and each loss '
    'is followed by a placement',
)
def lose_zone(context: Any, count: int, requests: int) -> None:
    fleet = fleet_of(context)
    rng = random.Random(count)
    losses = [number % count for number in range(count * requests)]
    rng.shuffle(losses)
    pending = PendingLosses()
    started = time.perf_counter()
    for number in losses:
        content = fleet.content(f'manual-{number % 9}, {rng.randrange(500)}')
        name = f'upstream-{number}'
        loss = Loss(name, content, False, fleet.now - 1, fleet.now)
        record_loss(pending, fleet.history, loss, fleet.now)
        confirm_crash(pending, fleet.history, name, fleet.now)
        fleet.is_admitted(content)
        fleet.now += 0.0005
    context.seconds = time.perf_counter() - started


@then('that took less than {seconds:g} seconds')
def check_seconds(context: Any, seconds: float) -> None:
    assert context.seconds < seconds, context.seconds
