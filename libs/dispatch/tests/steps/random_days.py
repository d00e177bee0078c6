"""Random days of competing callers at an abstract pool of engines.

Arrivals have bursts, accounts with six times their usual load, and sizes that
differ. The pool admits by memory, as the coordinator forecasts it; prefill and
decode take a time that only depends on the tokens. It is no simulation of the
platform: it compares queue policies under the same arrivals.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from typing import Any

import attrs
from gypsumrelay_dispatch import (
    AccountLimits,
    Decision,
    Ending,
    Grant,
    Phase,
    PlacementRequest,
    SchedulerState,
    ServiceLimits,
    apply_configuration,
    apply_upstreams,
    end_attempt,
    end_prefill,
    queue_deadline,
    request_placement,
    tick,
)
from gypsumrelay_settings import DispatchSettings
from simulation import SERVICE, new_request, upstream

PREFILL_UPSTREAMS = 2
DECODE_UPSTREAMS = 5
MEMORY_TOKENS = 31_000
PREFILL_TOKENS_PER_MS = 33
DECODE_MS = 3.3
FIRST_EVENT_SECONDS = 0.05
TICK_SECONDS = 0.05
DAY_SECONDS = 40.0
USUAL_PER_SECOND = 13.0
ACCOUNTS = 8
SESSIONS = 40
HOT_FACTOR = 6
# Tokens that a usual request is charged, for the contracts.
USUAL_TOKENS = 4100
PATIENCE_SHARE = 1 / 3
DEADLINE_SECONDS = 14.0
SECOND_REJECTION_COST = 0.3


@attrs.frozen
class Kind:
    """A kind of request, with what its answers are worth."""

    rank: int
    objective: float
    in_time: float
    late: float


# The two new deployments: three routes of one rank, and three of different
# ranks.
MIXES = {
    'alike': (
        Kind(1, 0.9, 16, 3.1),
        Kind(1, 0.9, 16, 3.1),
        Kind(1, 0.9, 16, 3.1),
    ),
    'ranked': (
        Kind(0, 0.8, 17, 1.3),
        Kind(1, 1.0, 8.9, 1.8),
        Kind(2, 2.0, 4.4, 1.3),
    ),
}


@attrs.define
class Caller:
    """One caller with its one retry."""

    number: int
    kind: int
    account: str
    session: bytes
    prompt: int
    output: int
    expected: int
    arrived_at: float
    is_hot: bool = False
    tries: int = 0
    rejections: int = 0
    first_event_at: float = float('inf')
    granted_at: float = float('inf')


@attrs.define
class Day:
    """A running day: callers, events and the coordinator's state."""

    scheduler: SchedulerState
    kinds: tuple[Kind, ...]
    events: list[tuple[float, int, Any]] = attrs.field(factory=list)
    by_request: dict[str, Caller] = attrs.field(factory=dict)
    prefill_free_at: dict[str, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    scheduled: int = 0

    def schedule(self, at: float, action: Any) -> None:
        """Run an action at an instant."""
        self.scheduled += 1
        heapq.heappush(self.events, (at, self.scheduled, action))


@attrs.frozen
class Result:
    """The measure of a day.

    Attributes:
        value: Part of the possible value that was earned, less the cost of
            second rejections.
        served: Served part of the requests.
        worst_account: Lowest served part of an account within its contract,
            relative to all requests.
        worst_hot_account: Lowest served part of a hot account, likewise.
        usual_in_time: Part of the requests of accounts without excess load
            that was served in time.
        worst_kind: Lowest served part of a kind, relative to all requests.
        worst_size: Lowest served part of the largest tenth or the fifth below
            it, relative to its kind.
        first_rejections: Callers that were rejected.
        second_rejections: Callers that were rejected twice.
    """

    value: float
    served: float
    worst_account: float
    worst_hot_account: float
    usual_in_time: float
    worst_kind: float
    worst_size: float
    first_rejections: int
    second_rejections: int


def arrivals(seed: int, kinds: tuple[Kind, ...]) -> list[Caller]:
    """Return the callers of a day, which only depend on the seed."""
    rng = random.Random(seed)
    accounts = [f'account-{number}' for number in range(ACCOUNTS)]
    weights = [rng.uniform(0.5, 1.5) for _ in accounts]
    bursts = _bursts(rng)
    hot = set(rng.sample(accounts, rng.randint(1, 2)))
    hot_from = rng.uniform(5, DAY_SECONDS / 2)
    hot_until = hot_from + rng.uniform(5, 9)
    callers: list[Caller] = []
    at: float = 0
    peak = USUAL_PER_SECOND * 2 * HOT_FACTOR
    while True:
        at += rng.expovariate(peak)
        if at > DAY_SECONDS:
            return callers
        account = rng.choices(accounts, weights)[0]
        is_hot = account in hot and hot_from < at < hot_until
        factor = HOT_FACTOR if is_hot else 1
        factor *= max(
            (size for start, end, size in bursts if start < at < end),
            default=1,
        )
        if rng.random() > USUAL_PER_SECOND * factor / peak:
            continue
        expected = max(50, int(rng.gauss(550, 150)))
        callers.append(
            Caller(
                len(callers),
                rng.randrange(len(kinds)),
                account,
                bytes([rng.randrange(SESSIONS)]),
                min(12_000, int(rng.lognormvariate(8, 0.4))),
                2700,
                expected,
                at,
                account in hot,
            )
        )


def _bursts(rng: random.Random) -> list[tuple[float, float, float]]:
    found = []
    at = rng.uniform(3, 8)
    while at < DAY_SECONDS:
        end = at + rng.uniform(3, 5)
        found.append((at, end, rng.uniform(1.7, 2)))
        at = end + rng.uniform(6, 10)
    return found


def run_day(policy: str, seed: int, mix: str, contract: float) -> Result:
    """Run a day with a queue policy and return its measure.

    Args:
        policy: The queue policy.
        seed: Determines the arrivals.
        mix: Name of the kinds in `MIXES`.
        contract: Rate of each account as a multiple of its usual load.
    """
    kinds = MIXES[mix]
    day = _start(policy, kinds, contract)
    callers = arrivals(seed, kinds)
    for caller in callers:
        day.schedule(caller.arrived_at, _arrival(day, caller))
    for step in range(int((DAY_SECONDS + 20) / TICK_SECONDS)):
        day.schedule(step * TICK_SECONDS, _tick(day))
    while day.events:
        now, _, action = heapq.heappop(day.events)
        action(now)
    return measure(callers, kinds)


def _start(policy: str, kinds: tuple[Kind, ...], contract: float) -> Day:
    settings = DispatchSettings(
        queue_policy=policy,
        overdraft_tokens=140_000,
        repeat_ratio=0.2,
        repeat_slack=82,
        prefill_tokens_per_ms=PREFILL_TOKENS_PER_MS,
    )
    day = Day(SchedulerState(settings), kinds)
    rate = USUAL_PER_SECOND * USUAL_TOKENS / ACCOUNTS * contract
    limits = [
        AccountLimits(f'account-{number}', rate, rate * 2)
        for number in range(ACCOUNTS)
    ]
    service = ServiceLimits(SERVICE, memory_tokens=MEMORY_TOKENS)
    apply_configuration(day.scheduler, [service], limits, 0)
    pool = [
        *(
            upstream(number, Phase.prefill, 64)
            for number in range(PREFILL_UPSTREAMS)
        ),
        *(
            upstream(number, Phase.decode, 64)
            for number in range(DECODE_UPSTREAMS)
        ),
    ]
    apply_upstreams(day.scheduler, pool, 0)
    return day


def _arrival(day: Day, caller: Caller) -> Any:
    def arrive(now: float) -> None:
        caller.tries += 1
        kind = day.kinds[caller.kind]
        request_id = f'{caller.number}-{caller.tries}'
        day.by_request[request_id] = caller
        deadline = caller.arrived_at + DEADLINE_SECONDS
        settings = day.scheduler.settings
        request = new_request(
            request_id,
            now,
            client_account=caller.account,
            cost_tokens=caller.prompt + caller.expected,
            priority=kind.rank,
            objective_at=now + kind.objective,
            deadline=deadline,
            wait_until=queue_deadline(settings, kind.objective, deadline, now),
            prompt_tokens=caller.prompt,
            output_tokens=caller.output,
            expected_tokens=caller.expected,
            digest=caller.number.to_bytes(4),
            parts=(caller.session,),
        )
        _collect(day, request_placement(day.scheduler, request, now), now)

    return arrive


def _tick(day: Day) -> Any:
    def run(now: float) -> None:
        _collect(day, tick(day.scheduler, now), now)

    return run


def _collect(day: Day, decisions: list[Decision], now: float) -> None:
    for decision in decisions:
        caller = day.by_request[decision.request.request_id]
        if isinstance(decision, Grant):
            _run(day, caller, decision, now)
        else:
            _retry(day, caller, decision.failure.retry_at, now)


def _retry(
    day: Day, caller: Caller, retry_at: float | None, now: float
) -> None:
    caller.rejections += 1
    left = caller.arrived_at + DEADLINE_SECONDS - now
    if caller.tries > 1 or retry_at is None:
        return
    # The caller rounds nothing, and its retry takes some time to arrive.
    at = max(now, min(retry_at, now + left * PATIENCE_SHARE)) + 0.01
    day.schedule(at, _arrival(day, caller))


def _run(day: Day, caller: Caller, grant: Grant, now: float) -> None:
    caller.granted_at = now
    request = grant.request
    seconds = caller.prompt / PREFILL_TOKENS_PER_MS / 1000
    if grant.prefill is None:
        prefilled_at = now + seconds * 2.5
    else:
        name = grant.prefill.name
        start = max(now, day.prefill_free_at[name])
        prefilled_at = start + seconds
        day.prefill_free_at[name] = prefilled_at
        day.schedule(prefilled_at, _prefill_end(day, request))
    caller.first_event_at = prefilled_at + FIRST_EVENT_SECONDS
    ends_at = prefilled_at + caller.expected * DECODE_MS / 1000
    day.schedule(ends_at, _end(day, request))


def _prefill_end(day: Day, request: PlacementRequest) -> Any:
    def run(now: float) -> None:
        ended = end_prefill(day.scheduler, request.key, Ending.answered, now)
        _collect(day, ended, now)

    return run


def _end(day: Day, request: PlacementRequest) -> Any:
    def run(now: float) -> None:
        ended = end_attempt(day.scheduler, request.key, Ending.answered, now)
        _collect(day, ended, now)

    return run


def measure(callers: list[Caller], kinds: tuple[Kind, ...]) -> Result:
    """Return the measure of the callers of a day."""
    earned: float = 0
    possible: float = 0
    for caller in callers:
        kind = kinds[caller.kind]
        possible += kind.in_time
        if _is_served(caller):
            earned += kind.in_time if _is_in_time(caller, kind) else kind.late
        if caller.rejections > 1:
            earned -= SECOND_REJECTION_COST * kind.in_time
    overall = _served_part(callers)
    usual = [one for one in callers if not one.is_hot]
    hot = [one for one in callers if one.is_hot]
    in_time = sum(_is_in_time(one, kinds[one.kind]) for one in usual)
    return Result(
        earned / possible,
        overall,
        _worst(_by(usual, 'account')) / overall,
        _worst(_by(hot, 'account')) / overall,
        in_time / len(usual),
        _worst(_by(callers, 'kind')) / overall,
        _worst_size(callers),
        sum(one.rejections > 0 for one in callers),
        sum(one.rejections > 1 for one in callers),
    )


def _is_served(caller: Caller) -> bool:
    return caller.first_event_at < float('inf')


def _is_in_time(caller: Caller, kind: Kind) -> bool:
    return caller.first_event_at <= caller.arrived_at + kind.objective


def _served_part(callers: list[Caller]) -> float:
    return sum(map(_is_served, callers)) / max(1, len(callers))


def _by(callers: list[Caller], name: str) -> list[list[Caller]]:
    groups: dict[Any, list[Caller]] = defaultdict(list)
    for caller in callers:
        groups[getattr(caller, name)].append(caller)
    return list(groups.values())


def _worst(groups: list[list[Caller]]) -> float:
    return min(map(_served_part, groups))


def _worst_size(callers: list[Caller]) -> float:
    parts = []
    for group in _by(callers, 'kind'):
        ordered = sorted(group, key=lambda caller: caller.prompt)
        tenth = len(ordered) // 10
        whole = _served_part(group)
        next_fifth = ordered[-3 * tenth : -tenth]
        parts.extend(
            _served_part(part) / whole
            for part in (ordered[-tenth:], next_fifth)
        )
    return min(parts)
