"""Measures claims per second and appends per 1,000 claims, without I/O."""

from __future__ import annotations

import random
import sys
import time

import attrs
from gypsumrelay_claims import (
    Append,
    AppendResult,
    Claim,
    Committer,
    CommitterSettings,
    Granted,
    LogRead,
    apply_read,
    flush,
    on_append_result,
    run_maintenance,
    submit,
)
from gypsumrelay_configuration import Record

TICK_SECONDS = 0.01
APPEND_SECONDS = 0.02
DEADLINE_SECONDS = 10
SIMULATED_SECONDS = 60
RATES = (167, 1_000, 2_000, 5_000)
SEED = 1


@attrs.define
class Run:
    """A committer with a simulated log of fixed append latency."""

    committer: Committer
    appends: int = 0
    granted: int = 0
    pending_appends: list[tuple[float, Append]] = attrs.field(factory=list)
    history: list[Record] = attrs.field(factory=list)

    def step(self, now: float) -> None:
        """Run one step of the committer and of the simulated log."""
        run_maintenance(self.committer, now)
        for action in flush(self.committer, now):
            if isinstance(action, Append):
                self.appends += 1
                self.pending_appends.append((now + APPEND_SECONDS, action))
        while self.pending_appends and self.pending_appends[0][0] <= now:
            self.finish(self.pending_appends.pop(0)[1], now)

    def finish(self, append: Append, now: float) -> None:
        """Append the records to the log and pass them to the committer."""
        start = len(self.history)
        self.history.extend(append.records)
        recorded = AppendResult.recorded
        on_append_result(self.committer, append.append_id, recorded, now)
        entries = tuple(enumerate(append.records, start))
        end = len(self.history)
        read = LogRead(start, entries, end, 0, at_end=True)
        answers = apply_read(self.committer, read, now)
        self.granted += sum(isinstance(each, Granted) for each in answers)


def new_claim(number: int, now: float) -> Claim:
    """Return a claim with a unique key."""
    key = f'{number:064x}'
    return Claim(
        client_account='account',
        key_digest=key,
        request_digest=key,
        request_id=f'r{number}',
        agent='runner',
        durable=True,
        deadline=now + DEADLINE_SECONDS,
    )


def measure(rate: int) -> str:
    """Return the measured figures at a rate of claims per second."""
    rng = random.Random(SEED)  # noqa: S311 - reproducible load
    run = Run(Committer('a', 'a#1', CommitterSettings(86_400)))
    apply_read(run.committer, LogRead(0, (), 0, 0, at_end=True), 0)
    now: float = 0
    made = 0
    started = time.perf_counter()
    while now < SIMULATED_SECONDS:
        now += TICK_SECONDS
        expected = rate * now
        while made < expected - rng.random():
            made += 1
            submit(run.committer, new_claim(made, now), now)
        run.step(now)
    seconds = time.perf_counter() - started
    per_thousand = run.appends / run.granted * 1_000
    return (
        f'{rate} claims/s offered for {SIMULATED_SECONDS} s: '
        f'{run.granted} granted, {run.appends} appends, '
        f'{per_thousand:.1f} appends per 1,000 claims, '
        f'{run.granted / seconds:.0f} claims per second of computing time'
    )


if __name__ == '__main__':
    for offered in RATES:
        sys.stdout.write(f'{measure(offered)}\n')
