"""Model of entries, committers and the log, with an oracle."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import attrs
from gypsumrelay_claims import (
    Append,
    AppendResult,
    Claim,
    Committer,
    CommitterSettings,
    Granted,
    LogRead,
    Taken,
    Unavailable,
    apply_read,
    flush,
    on_append_result,
    release,
    run_maintenance,
    submit,
)
from gypsumrelay_configuration import (
    ClaimBatch,
    ClaimsExpired,
    ClaimsReleased,
    Record,
)

CLAIM_SECONDS: Final = 100.0
KEYS: Final = ('k1', 'k2', 'k3')
NAMES: Final = ('agent-a', 'agent-b', 'agent-c')
READ_LIMIT: Final = 4
RETAINED_RECORDS: Final = 24
RECOVERY_ROUNDS: Final = 40
FATES: Final = ('recorded', 'lost', 'refused', 'timeout', 'late', 'slow')
_OUTCOMES: Final = {
    'recorded': AppendResult.recorded,
    'refused': AppendResult.not_recorded,
}
SETTINGS: Final = CommitterSettings(
    CLAIM_SECONDS,
    max_batch=3,
    compaction_distance=6,
    abandoned_retention_seconds=1e6,
    takeover_seconds=5,
)


@attrs.frozen
class KeyState:
    """State of one key according to the whole log."""

    body: str
    holder: str
    writer: str
    free: bool = False
    used: frozenset[str] = frozenset()


def reduce_reference(
    known: dict[str, KeyState],
    record: Record,
) -> dict[str, KeyState]:
    """Apply one record by a reference implementation."""
    after = dict(known)
    if isinstance(record, ClaimBatch):
        for entry in record.claims:
            key_state = after.get(entry.key_digest)
            used = key_state.used if key_state else frozenset()
            ended = key_state is None or not key_state.body
            follows = (
                key_state
                and key_state.free
                and key_state.body == entry.request_digest
            )
            if entry.request_id not in used and (ended or follows):
                after[entry.key_digest] = KeyState(
                    entry.request_digest,
                    entry.request_id,
                    record.committer,
                    used=used | {entry.request_id},
                )
    if isinstance(record, (ClaimsReleased, ClaimsExpired)):
        for named in record.claims:
            key_state = after.get(named.key_digest)
            if key_state is None or key_state.holder != named.request_id:
                continue
            body = key_state.body if isinstance(record, ClaimsReleased) else ''
            after[named.key_digest] = attrs.evolve(
                key_state,
                body=body,
                free=True,
            )
    return after


@attrs.define
class LogModel:
    """All records, the state after each, and the readable range."""

    history: list[Record] = attrs.field(factory=list)
    states: list[dict[str, KeyState]] = attrs.field(factory=lambda: [{}])
    holders: set[tuple[str, str]] = attrs.field(factory=set)
    oldest: int = 0
    down: bool = False

    def append(self, records: tuple[Record, ...]) -> None:
        """Append records."""
        for record in records:
            self.history.append(record)
            state = reduce_reference(self.states[-1], record)
            self.states.append(state)
            self.holders.update((b.holder, b.writer) for b in state.values())

    def read(self, start: int) -> LogRead:
        """Return up to `READ_LIMIT` records from an offset."""
        begin = max(start, self.oldest)
        found = self.history[begin : begin + READ_LIMIT]
        entries = tuple(enumerate(found, begin))
        end = begin + len(found)
        at_end = end == len(self.history)
        return LogRead(start, entries, end, self.oldest, at_end)


@attrs.define
class Agent:
    """Process of a committer."""

    name: str
    incarnation: int
    clock_offset: float
    committer: Committer
    paused: bool = False
    delayed_reads: list[LogRead] = attrs.field(factory=list)
    rejected: set[str] = attrs.field(factory=set)
    released: set[str] = attrs.field(factory=set)


@attrs.define
class Request:
    """Request of an entry."""

    request_id: str
    key: str
    body: str
    deadline: float
    state: str = 'waiting'


@attrs.define
class AppendInFlight:
    """An append in flight between its committer and the log."""

    agent: Agent
    append: Append
    took_effect: bool = False


def has_claims(records: tuple[Record, ...]) -> bool:
    """Return whether an append has claims.

    Such an append must take effect within the claim period.
    """
    return any(isinstance(record, ClaimBatch) for record in records)


def new_agent(name: str, incarnation: int) -> Agent:
    identity = f'{name}#{incarnation}'
    committer = Committer(name, identity, SETTINGS, NAMES)
    return Agent(name, incarnation, 1000.0 * incarnation, committer)


@attrs.define
class Cluster:
    """Entries, committers and log.

    Each step takes two numbers, which select its target and its variant.
    """

    now: float = 0
    log: LogModel = attrs.field(factory=LogModel)
    agents: list[Agent] = attrs.field(
        factory=lambda: [new_agent(name, 1) for name in NAMES],
    )
    requests: dict[str, Request] = attrs.field(factory=dict)
    in_flight: list[AppendInFlight] = attrs.field(factory=list)
    late_appends: list[tuple[Record, ...]] = attrs.field(factory=list)
    answers: list[Any] = attrs.field(factory=list)
    dispatches: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    not_run: set[str] = attrs.field(factory=set)
    counts: dict[str, int] = attrs.field(factory=dict)

    # Entries

    def submit_new(self, target: int, variant: int) -> None:
        """Submit a request with a key, mostly with the same body."""
        name = f'r{len(self.requests)}'
        body = 'other' if variant == 0 else 'body'
        deadline = self.now + (0.3, 1, 4)[variant % 3]
        request = Request(name, KEYS[target % len(KEYS)], body, deadline)
        self.requests[name] = request
        self.submit(request, self.agents[(target + variant) % len(NAMES)])

    def resubmit(self, target: int, variant: int) -> None:
        """Submit a claim again, possibly to another committer."""
        waiting = self.waiting()
        if waiting:
            request = waiting[target % len(waiting)]
            self.submit(request, self.agents[variant % len(NAMES)])

    def submit(self, request: Request, agent: Agent) -> None:
        """Submit a claim to an agent, which loses it if it is paused."""
        if agent.paused:
            return
        claim = Claim(
            'account',
            request.key,
            request.body,
            request.request_id,
            'runner',
            True,
            request.deadline + agent.clock_offset,
        )
        actions = submit(agent.committer, claim, self.now + agent.clock_offset)
        self.handle(agent, actions, final=False)

    def deliver(self, target: int, variant: int) -> None:
        """Deliver an answer to its entry, or lose it."""
        if not self.answers:
            return
        action = self.answers.pop(target % len(self.answers))
        request = self.requests[action.request_id]
        if request.state != 'waiting' or variant == 0:
            return
        if request.deadline <= self.now or isinstance(action, Unavailable):
            self.reject(request)
        elif isinstance(action, Taken):
            request.state = 'taken'
        elif variant == 1:
            # The agent rejects the dispatch.
            self.reject(request)
            self.release(request, target)
        else:
            self.dispatch(request)

    def dispatch(self, request: Request) -> None:
        """Run a request, which must be the only one of its key."""
        known = self.dispatches.get(request.key)
        assert known is None or self.now - known[1] >= CLAIM_SECONDS, (
            f'{request} runs although {known} ran'
        )
        assert request.request_id not in self.not_run, (
            f'{request} runs after not_run'
        )
        self.dispatches[request.key] = (request.request_id, self.now)
        request.state = 'ran'

    def reject(self, request: Request) -> None:
        """Answer a request with not_run, after which it must never run."""
        request.state = 'rejected'
        self.not_run.add(request.request_id)

    def release(self, request: Request, target: int) -> None:
        """Release a claim at a committer, which ignores it if it is paused."""
        agent = self.agents[target % len(NAMES)]
        if not agent.paused:
            agent.released.add(request.request_id)
            release(
                agent.committer,
                ('account', request.key),
                request.request_id,
                self.now + agent.clock_offset,
            )

    def crash_entry(self, target: int, variant: int) -> None:
        """Crash an entry, with some of the waiting requests."""
        waiting = self.waiting()
        for request in waiting[target % 4 :: 2]:
            request.state = 'gone'

    def waiting(self) -> list[Request]:
        """Return the requests without an answer."""
        return [
            request
            for request in self.requests.values()
            if request.state == 'waiting'
        ]

    # Committers

    def tick(self, target: int, variant: int) -> None:
        """Run one tick of a committer."""
        agent = self.agents[target % len(NAMES)]
        if not agent.paused:
            local_time = self.now + agent.clock_offset
            run_maintenance(agent.committer, local_time)
            self.handle(agent, flush(agent.committer, local_time))

    def read(self, target: int, variant: int) -> None:
        """Let a committer read some records."""
        agent = self.agents[target % len(NAMES)]
        if not self.log.down and not agent.paused:
            self.observe(agent, self.log.read(agent.committer.next_offset))

    def delay_read(self, target: int, variant: int) -> None:
        """Delay a response to a read."""
        agent = self.agents[target % len(NAMES)]
        if not self.log.down:
            read = self.log.read(agent.committer.next_offset)
            agent.delayed_reads.append(read)

    def deliver_read(self, target: int, variant: int) -> None:
        """Deliver a delayed response to a read, in any order."""
        agent = self.agents[target % len(NAMES)]
        if agent.delayed_reads and not agent.paused:
            held = agent.delayed_reads.pop(variant % len(agent.delayed_reads))
            self.observe(agent, held)

    def observe(self, agent: Agent, read: LogRead) -> None:
        """Apply a response to a read at a committer."""
        local_time = self.now + agent.clock_offset
        self.handle(agent, apply_read(agent.committer, read, local_time))
        self.check_table(agent)

    def check_table(self, agent: Agent) -> None:
        """Compare the table of a committer with the log, after its replay."""
        committer = agent.committer
        if committer.replay is not None:
            return
        known = {
            key[1]: (
                holder.entry.request_digest,
                holder.entry.request_id,
                holder.state.value,
            )
            for key, holder in committer.table.holders.items()
            if holder.state.value != 'expired'
        }
        state = self.log.states[committer.next_offset]
        expected = {
            key: (
                key_state.body,
                key_state.holder,
                'released' if key_state.free else 'held',
            )
            for key, key_state in state.items()
            if key_state.body
        }
        assert known == expected, f'{committer.identity} has a wrong table'

    def handle(
        self,
        agent: Agent,
        actions: list[Any],
        *,
        final: bool = True,
    ) -> None:
        """Execute the actions of a committer."""
        for action in actions:
            kind = type(action).__name__
            self.counts[kind] = self.counts.get(kind, 0) + 1
            if isinstance(action, Append):
                self.in_flight.append(AppendInFlight(agent, action))
            elif isinstance(action, (Granted, Taken, Unavailable)):
                self.check_answer(agent, action)
                self.answers.append(action)
            if isinstance(action, Unavailable) and final:
                agent.rejected.add(action.request_id)

    def check_answer(self, agent: Agent, action: Any) -> None:
        """Check an answer of a committer."""
        request = self.requests[action.request_id]
        if isinstance(action, Granted):
            assert request.request_id not in agent.rejected, (
                f'{request} was rejected and then granted'
            )
            holder = (request.request_id, agent.committer.identity)
            assert holder in self.log.holders, (
                f'{request} was granted but is not first in the log'
            )
        if isinstance(action, Taken):
            holder = self.requests[action.holder_request_id]
            assert holder.key == request.key
            same = holder.body == request.body
            assert action.same_body == same, (
                f'{request}: wrong same_body in {action}'
            )

    def pause(self, target: int, variant: int) -> None:
        """Pause or resume a committer."""
        agent = self.agents[target % len(NAMES)]
        agent.paused = variant % 3 == 0

    def miss_records(self, target: int, variant: int) -> None:
        """Pause a committer until the log drops records it has not read."""
        agent = self.agents[target % len(NAMES)]
        self.tick(target, 0)
        agent.paused = True
        for number in range(RETAINED_RECORDS):
            self.submit_new(number, variant)
            self.settle(1, apply_late=False)
        self.drop_records(0, 1)
        agent.paused = False

    def crash_agent(self, target: int, variant: int) -> None:
        """Replace a committer by a new incarnation."""
        index = target % len(NAMES)
        old = self.agents[index]
        self.agents[index] = new_agent(old.name, old.incarnation + 1)

    # The log

    def resolve(self, target: int, variant: int) -> None:
        """Complete an append with one of the fates."""
        if not self.in_flight:
            return
        append_in_flight = self.in_flight.pop(target % len(self.in_flight))
        records = append_in_flight.append.records
        fate = FATES[variant % len(FATES)]
        if self.log.down and fate in {'recorded', 'slow'}:
            fate = 'refused'
        if append_in_flight.took_effect and fate != 'lost':
            fate = 'recorded'
        if (
            fate in {'recorded', 'lost', 'slow'}
            and not append_in_flight.took_effect
        ):
            self.log.append(records)
        if fate == 'slow':
            self.in_flight.append(
                attrs.evolve(append_in_flight, took_effect=True),
            )
            return
        if fate == 'late':
            self.late_appends.append(records)
        outcome = _OUTCOMES.get(fate, AppendResult.unknown)
        self.report(append_in_flight, outcome)

    def report(
        self,
        append_in_flight: AppendInFlight,
        outcome: AppendResult,
    ) -> None:
        """Report the result of an append to its committer."""
        agent = append_in_flight.agent
        actions = on_append_result(
            agent.committer,
            append_in_flight.append.append_id,
            outcome,
            self.now + agent.clock_offset,
        )
        if any(agent is alive for alive in self.agents):
            self.handle(agent, actions)

    def apply_late_append(self, target: int, variant: int) -> None:
        """Let a late append take effect after its result was unknown."""
        if self.late_appends:
            self.log.append(
                self.late_appends.pop(target % len(self.late_appends)),
            )

    def toggle_log(self, target: int, variant: int) -> None:
        """Stop the log, or start it again."""
        self.log.down = variant % 3 == 0

    def drop_records(self, target: int, variant: int) -> None:
        """Drop old records, after running committers had time to compact."""
        if all(agent.paused for agent in self.agents):
            return
        self.settle(RECOVERY_ROUNDS, apply_late=variant % 2 == 0)
        self.log.oldest = max(
            self.log.oldest,
            len(self.log.history) - RETAINED_RECORDS,
        )

    # Time

    def advance(self, target: int, variant: int) -> None:
        """Advance the time; entries reject requests past their deadlines."""
        self.now += (0.02, 0.06, 0.2, 1.5)[variant % 4]
        for request in self.waiting():
            if request.deadline <= self.now:
                self.reject(request)
                self.release(request, target)

    def pass_claim_period(self, target: int, variant: int) -> None:
        """Advance the time until all claims are older than the claim period."""
        self.late_appends = [
            late for late in self.late_appends if not has_claims(late)
        ]
        for append_in_flight in tuple(self.in_flight):
            if has_claims(append_in_flight.append.records):
                self.report(append_in_flight, AppendResult.unknown)
                self.in_flight.remove(append_in_flight)
        self.now += CLAIM_SECONDS + 1
        self.advance(target, 0)

    def settle(self, rounds: int, *, apply_late: bool = True) -> None:
        """Run ticks of all running agents while the log works.

        Appends of paused agents stay in flight.
        """
        self.log.down = False
        for _ in range(rounds):
            self.advance(0, 2)
            while self.late_appends and apply_late:
                self.apply_late_append(0, 0)
            for index, _ in enumerate(self.agents):
                self.tick(index, 0)
                self.finish_appends()
                self.read(index, 0)
            while self.answers:
                self.deliver(0, 2)

    def recover(self) -> None:
        """Clear all faults and check that all waiting requests are answered."""
        for agent in self.agents:
            agent.paused = False
        self.settle(RECOVERY_ROUNDS)
        assert not self.waiting(), f'no answer for {self.waiting()}'
        for agent in self.agents:
            assert agent.committer.replay is None, 'the replay is not complete'
            assert agent.committer.next_offset == len(self.log.history)
        for key in KEYS:
            self.check_key(key)

    def check_key(self, key: str) -> None:
        """Check that a repeated key is granted, or taken by a valid holder."""
        state = self.log.states[-1].get(key)
        body = state.body if state and state.body else 'body'
        taken = self.answer_for(key, body)
        if isinstance(taken, Taken):
            holder = self.log.states[-1][key]
            for agent in self.agents:
                is_writer = holder.writer == agent.committer.identity
                assert holder.holder not in agent.released, (
                    f'{taken} by a released request'
                )
                assert not is_writer or holder.holder not in agent.rejected, (
                    f'{taken} by a rejected request'
                )
        else:
            assert isinstance(taken, Granted), taken
        changed = self.answer_for(key, 'changed')
        assert isinstance(changed, Taken), changed
        assert not changed.same_body, 'same_body is wrong for another body'

    def answer_for(self, key: str, body: str) -> Any:
        """Submit a request to the first agent and return its answer."""
        name = f'r{len(self.requests)}'
        request = Request(name, key, body, self.now + 20)
        self.requests[name] = request
        self.submit(request, self.agents[0])
        for _ in range(RECOVERY_ROUNDS):
            for answer in self.answers:
                if answer.request_id == name:
                    self.deliver(self.answers.index(answer), 2)
                    return answer
            self.now += 0.1
            self.tick(0, 0)
            self.finish_appends()
            self.read(0, 0)
        return None

    def finish_appends(self) -> None:
        """Record the appends of all running committers."""
        for append_in_flight in tuple(self.in_flight):
            if not append_in_flight.agent.paused:
                self.resolve(self.in_flight.index(append_in_flight), 0)


STEPS: Final[tuple[Callable[[Cluster, int, int], None], ...]] = (
    *(
        Cluster.submit_new,
        Cluster.submit_new,
        Cluster.submit_new,
        Cluster.resubmit,
    ),
    *(Cluster.tick, Cluster.tick, Cluster.tick, Cluster.read, Cluster.read),
    *(Cluster.read, Cluster.resolve, Cluster.resolve, Cluster.deliver),
    *(Cluster.deliver, Cluster.delay_read, Cluster.deliver_read),
    *(
        Cluster.advance,
        Cluster.advance,
        Cluster.apply_late_append,
        Cluster.pause,
    ),
    *(Cluster.crash_agent, Cluster.crash_entry, Cluster.toggle_log),
    *(Cluster.drop_records, Cluster.pass_claim_period, Cluster.miss_records),
)
