"""Steps for crash attribution, with random fleets and a crashing request."""

from __future__ import annotations

import random
from typing import Any

from behave import given, then, when
from gypsumrelay_errors import RequestBlamed
from gypsumrelay_routing import (
    CrashAttribution,
    CrashAttributionSettings,
    CrashRecord,
    Evidence,
    Verdict,
)

POISON_DIGEST = b'poison'
DIGESTS = (POISON_DIGEST, *(bytes([number]) for number in range(8)))
UPSTREAMS = 4
STEPS = 300


class Fleet:
    """Upstreams that run requests of several processes.

    A crash is reported to the processes whose requests ran on the upstream.
    The other processes get it when records are exchanged.
    """

    def __init__(self, rng: random.Random, processes: int) -> None:
        """Start without running requests."""
        self.rng = rng
        self.attributions = [CrashAttribution() for _ in range(processes)]
        self.running: list[list[tuple[bytes, int]]] = [
            [] for _ in range(UPSTREAMS)
        ]
        self.exclusive: set[int] = set()
        self.crashes = 0
        self.trial_crashes = dict.fromkeys(range(processes), 0)
        self.caused_crashes = 0
        self.copies_at_first_crash = 0
        self.now = 0

    def submit(self) -> None:
        """Submit a random request and follow its process's verdict."""
        digest = self.rng.choice(DIGESTS)
        process = self.rng.randrange(len(self.attributions))
        verdict = self.attributions[process].verdict(digest, self.now)
        if isinstance(verdict, RequestBlamed):
            assert digest == POISON_DIGEST, (
                'rejected a request that never crashes'
            )
        elif verdict == Verdict.alone:
            self.run_alone(digest, process)
        elif verdict == Verdict.together:
            number = self.rng.randrange(UPSTREAMS)
            if number not in self.exclusive:
                self.running[number].append((digest, process))

    def run_alone(self, digest: bytes, process: int) -> None:
        """Start a trial on an idle upstream."""
        idle = [n for n in range(UPSTREAMS) if not self.running[n]]
        if idle:
            self.attributions[process].start_trial(digest, self.now)
            self.running[idle[0]].append((digest, process))
            self.exclusive.add(idle[0])

    def finish(self) -> None:
        """Complete a request, or crash because of the request or by chance."""
        number = self.rng.randrange(UPSTREAMS)
        running = self.running[number]
        digests = {digest for digest, _ in running}
        # With a single running request, a crash by chance could not be
        # distinguished from one that the request causes.
        by_chance = len(digests) > 1 and self.rng.random() < 0.1
        if POISON_DIGEST in digests or by_chance:
            self.crash(number)
        elif running:
            digest, process = running.pop(0)
            self.attributions[process].record_success(digest, self.now)
            self.exclusive.discard(number)

    def crash(self, number: int) -> None:
        """Crash an upstream and report it to the owners of its requests."""
        running = self.running[number]
        self.count_caused_crash(number)
        self.crashes += 1
        digests = [digest for digest, _ in running]
        owners = {owner for _, owner in running}
        for process in sorted(owners):
            self.attributions[process].record_crash(
                str(self.crashes), digests, self.now
            )
        self.running[number] = []
        self.exclusive.discard(number)

    def count_caused_crash(self, number: int) -> None:
        """Count a crash that the crashing request caused."""
        owners = [
            owner for one, owner in self.running[number] if one == POISON_DIGEST
        ]
        if not owners:
            return
        if not self.caused_crashes:
            self.copies_at_first_crash = sum(
                any(digest == POISON_DIGEST for digest, _ in running)
                for running in self.running
            )
        self.caused_crashes += 1
        if number in self.exclusive:
            self.trial_crashes[owners[0]] += 1

    def exchange(self) -> None:
        """Send the records of one process to all processes."""
        sender = self.rng.choice(self.attributions)
        records = sender.records(DIGESTS, self.now)
        for attribution in self.attributions:
            attribution.merge(records, self.now)


@then(
    '{count:d} random fleets with {processes:d} process reject '
    'only the crashing request'
)
@then(
    '{count:d} random fleets with {processes:d} processes reject '
    'only the crashing request'
)
def run_fleets(context: Any, count: int, processes: int) -> None:
    blamed = 0
    for seed in range(count):
        rng = random.Random(seed)
        fleet = Fleet(rng, processes)
        for _ in range(STEPS):
            rng.choices(
                (fleet.submit, fleet.finish, fleet.exchange), (6, 6, 1)
            )[0]()
        assert max(fleet.trial_crashes.values()) <= 1, fleet.trial_crashes
        if processes == 1:
            bound = fleet.copies_at_first_crash + 1
            assert fleet.caused_crashes <= bound, (seed, fleet.caused_crashes)
        verdicts = [
            attribution.verdict(POISON_DIGEST, 0)
            for attribution in fleet.attributions
        ]
        blamed += any(isinstance(one, RequestBlamed) for one in verdicts)
    assert blamed > count * 0.9, blamed


@given('a request that ran alone when an upstream crashed')
def crash_alone(context: Any) -> None:
    context.attribution = CrashAttribution()
    context.attribution.record_crash('first', [POISON_DIGEST], 0)


@then('it has to run alone')
def check_alone(context: Any) -> None:
    assert context.attribution.verdict(POISON_DIGEST, 0) == Verdict.alone


@when('it succeeds and then crashes an upstream again')
def succeed_and_crash(context: Any) -> None:
    context.attribution.record_success(POISON_DIGEST, 0)
    assert context.attribution.verdict(POISON_DIGEST, 0) == Verdict.together
    context.attribution.record_crash('second', [POISON_DIGEST], 0)


def merged(records: list[CrashRecord]) -> dict[bytes, dict[str, Evidence]]:
    attribution = CrashAttribution(CrashAttributionSettings(max_crashes=32))
    for record in records:
        attribution.merge([record], 0)
    return {
        digest: dict(sorted(history.crashes.items()))
        for digest, history in attribution.histories.items()
    }


@then(
    '{count:d} random records merge to the same in order, reversed and repeated'
)
def merge_records(context: Any, count: int) -> None:
    rng = random.Random(5)
    records = [
        CrashRecord(
            rng.choice(DIGESTS),
            ((str(rng.randrange(9)), rng.randint(1, 3)),),
            10,
        )
        for _ in range(count)
    ]
    expected = merged(records)
    assert merged(list(reversed(records))) == expected
    assert merged(records * 2) == expected


@when('{count:d} digests crash upstreams with a limit of {kept:d} digests')
def crash_many(context: Any, count: int, kept: int) -> None:
    context.attribution = CrashAttribution(
        CrashAttributionSettings(max_digests=kept)
    )
    for number in range(count):
        digest = str(number).encode()
        context.attribution.record_crash(str(number), [digest], number)
        context.attribution.start_trial(digest, number)
    context.now = count


@then('{kept:d} of them are stored, and none after the retention period')
def check_kept(context: Any, kept: int) -> None:
    attribution = context.attribution
    assert len(attribution.histories) == kept
    assert len(attribution.trials) <= kept
    assert b'499' in attribution.histories
    attribution.expire(context.now + attribution.settings.retention_seconds)
    assert not attribution.histories
    assert not attribution.trials


@when(
    '{count:d} requests that share a part crash an upstream each that was not '
    'rejected',
)
def crash_shared(context: Any, count: int) -> None:
    attribution = CrashAttribution()
    context.ran = 0
    for number in range(count):
        digest = b'request %d' % number
        now = float(number)
        if isinstance(attribution.verdict(digest, now), RequestBlamed):
            continue
        context.ran += 1
        attribution.record_crash(f'crash {number}', [digest], now)


@then('at most {most:d} of them ran')
def check_ran(context: Any, most: int) -> None:
    assert context.ran <= most, context.ran
