"""Stateful test of the ledger against a model of the engine."""

from __future__ import annotations

import math
from typing import Any

import attrs
from gypsumrelay_upstreams import (
    CancelRun,
    ColdRamp,
    Delivered,
    Ended,
    EngineReport,
    EngineRestarted,
    Granted,
    Key,
    Ledger,
    LedgerSettings,
    RampSettings,
    Refused,
    ReserveRequest,
    StartRun,
    coldstart,
    ledger,
    reconciliation,
)
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

SLOTS = 4
COLD_LIMIT = 1
PIECES = 8
PIECE_TOKENS = 100
REQUESTS = 6
RECONCILIATIONS = 4
SIZES = st.sampled_from([50, 150, 250, 350])
NUMBERS = st.integers(0, 5)
RARELY = st.sampled_from([False, False, False, True])


@attrs.define
class ModelEngine:
    """Model of an engine with its runs and their memory blocks.

    Attributes:
        sharing: Whether common prefixes are stored once.
        held: Number of private blocks and the shared blocks of each run.
        incarnation: Number of restarts.
        cold: Whether the engine is cold.
    """

    sharing: bool
    held: dict[str, tuple[int, frozenset[bytes]]] = attrs.field(factory=dict)
    incarnation: int = 0
    cold: bool = True

    def pieces(self) -> int:
        """Return the number of used blocks."""
        shared = frozenset[bytes]().union(
            *(blocks for _, blocks in self.held.values()),
        )
        return sum(private for private, _ in self.held.values()) + len(shared)

    def start_run(self, run_id: str, request: ReserveRequest) -> None:
        """Start a run; fail if the agent exceeded slots or memory."""
        tokens = request.prompt_tokens + request.max_tokens
        blocks = math.ceil(tokens / PIECE_TOKENS)
        full_blocks = request.prompt_tokens // PIECE_TOKENS
        shared = frozenset(
            request.prefixes[:full_blocks] if self.sharing else ()
        )
        self.held[run_id] = (blocks - len(shared), shared)
        assert len(self.held) <= SLOTS, 'more runs than slots'
        assert self.pieces() <= PIECES, 'more blocks than the engine has'

    def report(self, now: float) -> EngineReport:
        """Return a report of the current state."""
        return EngineReport(
            frozenset(self.held),
            self.pieces(),
            self.cold,
            str(self.incarnation),
            now,
        )


@attrs.define
class Observations:
    """Messages and actions of one agent, for the checks of the test.

    Attributes:
        newest: Newest attempt by request id.
        ended: Attempts that have ended.
        started: Attempts whose run was started.
        granted: Attempts that were granted.
        next_index: Index of the next expected token.
        run_ids: Attempts by run id.
    """

    newest: dict[str, int] = attrs.field(factory=dict)
    ended: set[Key] = attrs.field(factory=set)
    started: set[Key] = attrs.field(factory=set)
    granted: set[Key] = attrs.field(factory=set)
    next_index: dict[Key, int] = attrs.field(factory=dict)
    run_ids: dict[str, Key] = attrs.field(factory=dict)


class LedgerMachine(RuleBasedStateMachine):
    """Simulates agent, engine and entries with failures in any order."""

    sharing = False

    def __init__(self) -> None:
        """Start an agent of a cold engine."""
        super().__init__()
        self.now = 100.0
        self.engine = ModelEngine(self.sharing)
        self.agents = 0
        self.newest_link = 0
        self.requests: dict[Key, ReserveRequest] = {}
        self.new_agent()

    def new_agent(self) -> None:
        """Start an agent with an empty ledger."""
        self.agents += 1
        self.state = Ledger(
            LedgerSettings(
                SLOTS,
                PIECES,
                PIECE_TOKENS,
                shares_prefixes=self.sharing,
            ),
            f'agent{self.agents}',
        )
        self.ramp: ColdRamp = coldstart.new_ramp(
            RampSettings(SLOTS, COLD_LIMIT),
            self.now,
        )
        self.last_reported_cold = True
        self.starting: dict[str, tuple[Key, float]] = {}
        self.cancels: list[str] = []
        self.reports: list[EngineReport] = []
        self.observations = Observations()
        self.apply_limit()

    @initialize(warm=st.booleans())
    def receive_initial_reports(self, warm: bool) -> None:
        """Open a link and get reports of the engine, which may be warm."""
        self.open_link()
        self.engine.cold = not warm
        self.reconcile_reports(2)
        if warm:
            self.ramp.limit = SLOTS
            self.apply_limit()

    def reconcile_reports(self, times: int) -> None:
        """Request and deliver reports without loss."""
        for _ in range(times):
            self.request_report()
            self.deliver_report(-1)

    def apply_limit(self) -> None:
        """Pass the limit of the ramp to the ledger."""
        self.perform(ledger.set_limit(self.state, self.ramp.limit, self.now))

    def perform(self, actions: list[Any]) -> None:
        """Check each action and perform it."""
        for action in actions:
            if isinstance(action, StartRun):
                self.check_start(action)
            elif isinstance(action, Delivered):
                self.check_tokens(action)
            elif isinstance(action, CancelRun):
                self.cancels.append(action.run_id)
            else:
                self.record_state(action)

    def record_state(self, action: object) -> None:
        """Record the new state of a reservation or the engine."""
        if isinstance(action, Granted):
            self.observations.granted.add(action.key)
        elif isinstance(action, (Ended, Refused)):
            self.observations.ended.add(action.key)
        elif isinstance(action, EngineRestarted):
            coldstart.restart(self.ramp, self.now)

    def check_start(self, action: StartRun) -> None:
        """Check that a run may start now, and record it as in transit."""
        key = action.key
        newest = self.observations.newest.get(key.request_id, 0)
        assert key.attempt >= newest, 'an old attempt starts'
        assert key not in self.observations.ended, 'an ended attempt starts'
        assert key not in self.observations.started, 'an attempt starts twice'
        self.observations.started.add(key)
        self.observations.run_ids[action.run_id] = key
        self.starting[action.run_id] = (key, self.now)
        present = len(set(self.engine.held) | set(self.starting))
        if self.last_reported_cold:
            assert present <= COLD_LIMIT, 'a cold engine is overloaded'
        assert present <= SLOTS, 'more runs than slots'

    def check_tokens(self, action: Delivered) -> None:
        """Check that tokens are delivered once, in order, by a live attempt."""
        key = action.key
        assert key not in self.observations.ended, 'tokens of an ended attempt'
        newest = self.observations.newest.get(key.request_id, 0)
        assert key.attempt >= newest, 'tokens of an old attempt'
        assert action.first_index == self.observations.next_index.get(key, 0)
        self.observations.next_index[key] = action.first_index + action.count

    def attempt_near_newest(self, name: str, change: int) -> Key:
        """Return an attempt near the newest one of a request."""
        newest = self.observations.newest.get(name, 0)
        return Key(name, max(1, newest + change))

    def record_attempt(self, key: Key) -> None:
        """Record the attempt of a message before the agent processes it."""
        newest = self.observations.newest.get(key.request_id, 0)
        self.observations.newest[key.request_id] = max(newest, key.attempt)

    @rule(
        number=NUMBERS,
        change=st.sampled_from([1, 1, 0, 0, -1]),
        size=SIZES,
        keyed=st.booleans(),
        alone=st.sampled_from([False, False, False, True]),
        blocks=st.integers(0, 2),
    )
    def reserve(
        self,
        number: int,
        change: int,
        size: int,
        keyed: bool,
        alone: bool,
        blocks: int,
    ) -> None:
        """Send a reservation of a new, the same or an old attempt."""
        name = str(number % REQUESTS)
        key = self.attempt_near_newest(name, change)
        request = ReserveRequest(
            key,
            'account',
            self.now + 60,
            prompt_tokens=size,
            max_tokens=50,
            prefixes=tuple(b'%d' % block for block in range(blocks)),
            keyed=keyed,
            alone=alone,
        )
        request = self.requests.setdefault(key, request)
        if str(self.newest_link) in self.state.links:
            self.record_attempt(key)
        link = str(self.newest_link)
        self.perform(ledger.reserve(self.state, request, link, self.now))

    @rule(number=NUMBERS)
    def start_granted(self, number: int) -> None:
        """Start an attempt, preferably a granted one that is not started."""
        keys = sorted(self.observations.granted | set(self.requests), key=str)
        waiting = sorted(
            self.observations.granted
            - self.observations.ended
            - self.observations.started,
            key=str,
        )
        keys = waiting or keys
        if keys:
            key = keys[number % len(keys)]
            self.record_attempt(key)
            self.perform(
                ledger.start(self.state, key, 0, self.now + 100, self.now),
            )

    @rule(number=NUMBERS, size=SIZES, keyed=st.booleans())
    def admit(self, number: int, size: int, keyed: bool) -> None:
        """Reserve and start a new attempt without loss of messages."""
        self.reserve(number, 1, size, keyed, alone=False, blocks=number % 3)
        self.start_granted(0)
        if self.starting:
            self.forward_start(lost=False)

    @rule()
    def warm_up(self) -> None:
        """Make the engine warm and raise the limit to all slots."""
        self.engine.cold = False
        self.reconcile_reports(2)
        self.ramp.limit = SLOTS
        self.apply_limit()

    @rule(number=NUMBERS, ahead=st.integers(0, 1))
    def cancel(self, number: int, ahead: int) -> None:
        """Cancel an attempt, even if its reservation was not sent yet."""
        name = str(number % REQUESTS)
        key = self.attempt_near_newest(name, ahead)
        self.record_attempt(key)
        self.perform(ledger.cancel(self.state, key, self.now))
        self.observations.ended.add(key)

    @precondition(lambda machine: machine.starting)
    @rule(lost=st.sampled_from([False, False, False, True]))
    def forward_start(self, lost: bool) -> None:
        """Deliver the oldest start to the engine, or lose it."""
        run_id, (key, _) = next(iter(self.starting.items()))
        self.starting.pop(run_id)
        if not lost:
            self.engine.start_run(run_id, self.requests[key])

    @precondition(lambda machine: machine.cancels)
    @rule(outcome=st.sampled_from(['done', 'response lost', 'lost']))
    def forward_cancel(self, outcome: str) -> None:
        """Deliver a cancel to the engine; it or its response may be lost."""
        run_id = self.cancels.pop(0)
        if outcome == 'lost':
            return
        was_held = self.engine.held.pop(run_id, None) is not None
        if was_held and outcome == 'done':
            self.perform(ledger.confirm_freed(self.state, run_id, self.now))

    @precondition(lambda machine: machine.engine.held)
    @rule(
        number=NUMBERS,
        outcome=st.sampled_from(['done', 'done', 'broken', 'lost', 'cut']),
    )
    def finish_run(self, number: int, outcome: str) -> None:
        """End a run, or break its connection or lose its response."""
        run_id = sorted(self.engine.held)[number % len(self.engine.held)]
        if outcome != 'cut':
            self.engine.held.pop(run_id)
        key = self.observations.run_ids.get(run_id)
        if key is None or outcome == 'lost':
            return
        reservation = self.state.places.get(key)
        if reservation is not None and reservation.run_id == run_id:
            coldstart.observe_completion(
                self.ramp,
                1.0,
                reservation.started_at,
                self.now,
            )
        done = outcome == 'done'
        self.perform(ledger.release(self.state, key, self.now, finished=done))
        self.apply_limit()

    @precondition(lambda machine: machine.observations.run_ids)
    @rule(number=NUMBERS, behind=st.sampled_from([0, 0, 0, 1]))
    def send_tokens(self, number: int, behind: int) -> None:
        """Deliver tokens of a run, perhaps late or repeated."""
        keys = sorted(self.observations.run_ids.values(), key=str)
        key = keys[-1 - number % len(keys)]
        first = max(0, self.observations.next_index.get(key, 0) - behind)
        self.perform(ledger.progress(self.state, key, first, 2))

    @rule()
    def request_report(self) -> None:
        """Request a report of the engine; its response is in transit."""
        self.advance(0.01)
        self.reports.append(self.engine.report(self.now))

    @precondition(lambda machine: machine.reports)
    @rule(number=NUMBERS)
    def deliver_report(self, number: int) -> None:
        """Deliver one of the reports in transit, in any order."""
        report = self.reports.pop(number % len(self.reports))
        is_new = report.asked_at > self.state.asked_at
        self.perform(reconciliation.reconcile(self.state, report, self.now))
        if is_new:
            self.last_reported_cold = report.cold
            coldstart.observe_report(
                self.ramp,
                cold=report.cold,
                asked_at=report.asked_at,
                now=self.now,
            )
        self.apply_limit()

    @rule(cold=st.sampled_from([False, False, True]), reported=st.booleans())
    def change_temperature(self, cold: bool, reported: bool) -> None:
        """Make the engine warm or cold, with or without a report of it."""
        self.engine.cold = cold
        if reported:
            self.reconcile_reports(1)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.5]))
    def advance(self, seconds: float) -> None:
        """Advance the clock; starts and reports in transit time out."""
        self.now += seconds
        delay = self.state.settings.command_delay_seconds
        for run_id, (_, sent_at) in list(self.starting.items()):
            if sent_at + delay <= self.now:
                self.starting.pop(run_id)
        self.reports = [
            report
            for report in self.reports
            if report.asked_at + delay > self.now
        ]
        ledger.heartbeat(self.state, str(self.newest_link), self.now)
        self.perform(ledger.expire(self.state, self.now))

    @rule(occurs=RARELY)
    def reconnect(self, occurs: bool) -> None:
        """Open a new link; the old one sends no more heartbeats."""
        if occurs:
            self.open_link()

    def open_link(self) -> None:
        """Open a link; only the newest one sends heartbeats."""
        self.newest_link += 1
        ledger.open_link(self.state, str(self.newest_link), self.now)

    @rule(back=st.integers(0, 1), occurs=RARELY)
    def lose_link(self, back: int, occurs: bool) -> None:
        """Lose a link, and resume its keyed runs on the newest one."""
        if not occurs:
            return
        lost = str(self.newest_link - back)
        self.perform(ledger.lose_link(self.state, lost, self.now))
        for key in list(self.state.places):
            self.perform(
                ledger.adopt(
                    self.state,
                    key,
                    str(self.newest_link),
                    self.now,
                ),
            )

    @rule(occurs=RARELY)
    def restart_engine(self, occurs: bool) -> None:
        """Restart the engine, which loses all its runs."""
        if not occurs:
            return
        self.engine.held.clear()
        self.engine.incarnation += 1
        self.engine.cold = True

    @rule(delivered=st.booleans(), occurs=RARELY)
    def restart_agent(self, delivered: bool, occurs: bool) -> None:
        """Replace the agent; its starts in transit arrive or are lost."""
        if not occurs:
            return
        for run_id, (key, _) in list(self.starting.items()):
            if delivered:
                self.engine.start_run(run_id, self.requests[key])
        self.requests.clear()
        self.new_agent()
        self.open_link()

    @invariant()
    def no_ended_reservation_stored(self) -> None:
        """Check that no ended reservation is still stored."""
        live = set(self.state.places) | set(self.state.waiting)
        assert not live & self.observations.ended, (
            'an ended reservation is live'
        )
        assert len(self.state.places) <= SLOTS

    def teardown(self) -> None:
        """End all requests; check that the engine is empty soon after."""
        for link in list(self.state.links):
            self.perform(ledger.lose_link(self.state, link, self.now))
        for run_id, (key, _) in list(self.starting.items()):
            self.engine.start_run(run_id, self.requests[key])
        self.starting.clear()
        self.now += 40
        self.perform(ledger.expire(self.state, self.now))
        for _ in range(RECONCILIATIONS):
            self.now += 1
            report = self.engine.report(self.now)
            self.cancels.clear()
            self.perform(reconciliation.reconcile(self.state, report, self.now))
            for run_id in self.cancels:
                self.engine.held.pop(run_id, None)
        assert not self.engine.held, 'engine memory stays allocated'
        assert not self.state.places
        assert not self.state.waiting
        assert not self.state.freeing, 'the ledger counts freed runs'


class SharingMachine(LedgerMachine):
    """Runs the same test with an engine that shares common prefixes."""

    sharing = True
