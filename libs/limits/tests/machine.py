"""Stateful test of requesters and holders against the fleet's oracle."""

from __future__ import annotations

from collections import Counter

from fleet_model import ZONES, Fleet, Process
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

# Event counts of all runs, checked by the steps.
TOTALS: Counter[str] = Counter()
INDEX = st.integers(min_value=0, max_value=40)
FLAG = st.booleans()
SHARE = st.integers(min_value=0, max_value=1)
MOVE_STEPS = st.sampled_from([16, 18, 24, 32])
RATE = st.sampled_from([4, 10, 20])
BURST = st.sampled_from([21, 40, 60])
CLEAN_SECONDS = 20
MOST_PROCESSES = 6


class FleetMachine(RuleBasedStateMachine):
    """Random order of requests, faults, reads and message deliveries."""

    full_load = False

    def __init__(self) -> None:
        """Start a fleet; its shares get their holders in `settle_in`."""
        super().__init__()
        self.fleet = Fleet()

    @initialize()
    def settle_in(self) -> None:
        """Wait until the shares have holders and are full."""
        for _ in range(CLEAN_SECONDS):
            self.fleet.step(1)
        self.fleet.full_load = self.full_load

    def pick(self, index: int) -> Process:
        """Return one process."""
        processes = list(self.fleet.processes.values())
        return processes[index % len(processes)]

    def holder(self, number: int) -> Process | None:
        """Return a process that acts as the holder of a share, if any."""
        for process in self.fleet.processes.values():
            if ('ikeja-post', number) in process.holder.shares:
                return process
        return None

    @rule(index=INDEX, tokens=st.sampled_from([1, 4, 12, 20, 27, 40]))
    def request(self, index: int, tokens: int) -> None:
        """Start a reservation."""
        process = self.pick(index)
        if not process.paused:
            self.fleet.request(process, tokens)

    @rule(index=INDEX, tokens=st.sampled_from([3, 7, 20]))
    def load(self, index: int, tokens: int) -> None:
        """Make six reservations, which may empty a share."""
        process = self.pick(index)
        for _ in range(6):
            if not process.paused:
                self.fleet.request(process, tokens)
                self.fleet.deliver_all()

    @rule(index=INDEX, other=INDEX)
    def retry(self, index: int, other: int) -> None:
        """Retry a request of a crashed agent."""
        names = list(self.fleet.requests)
        process = self.pick(other)
        if not names or process.paused:
            return
        name = names[index % len(names)]
        before = self.fleet.requests[name]
        if (
            before.agent in self.fleet.processes
            or before.used_tokens is not None
        ):
            return
        if before.ended:
            return
        self.fleet.request(process, before.spec.tokens, name=name)

    @rule(index=INDEX, used=st.integers(min_value=0, max_value=40))
    def finish(self, index: int, used: int) -> None:
        """End a recent request."""
        names = list(self.fleet.requests)
        if names:
            self.fleet.end(names[-1 - index % len(names)], used)

    @rule(index=INDEX, fault=st.sampled_from(['', '', 'copy', 'loss']))
    def deliver(self, index: int, fault: str) -> None:
        """Deliver, duplicate or lose a message."""
        if not self.fleet.network:
            return
        index %= len(self.fleet.network)
        if fault == 'loss':
            self.fleet.network.pop(index)
        else:
            self.fleet.deliver(index, keep=bool(fault))

    @rule()
    def deliver_all(self) -> None:
        """Deliver all messages."""
        self.fleet.deliver_all()

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 1, 1, 2, 4]))
    def wait(self, seconds: float) -> None:
        """Advance the time by up to 4 seconds."""
        self.fleet.step(seconds)

    @rule(seconds=st.sampled_from([4, 9, 16]))
    def wait_long(self, seconds: int) -> None:
        """Advance the time until evidence expires and shares move."""
        for _ in range(seconds):
            self.fleet.step(1)

    @rule(index=INDEX, delay=st.sampled_from([0, 2, 4.9]))
    def read_late(self, index: int, delay: float) -> None:
        """Complete reads that started `delay` seconds ago."""
        process = self.pick(index)
        self.fleet.read_log(process, delay)
        self.fleet.read_list(process, lag=3, delay=delay)

    @rule(number=SHARE, log=FLAG, listing=FLAG)
    def cut_holder(self, number: int, log: bool, listing: bool) -> None:
        """Partition a holder from the log, the list or both."""
        process = self.holder(number)
        if process is not None:
            process.log_partitioned = log
            process.list_partitioned = listing

    @rule(number=SHARE)
    def unlist_holder(self, number: int) -> None:
        """Remove a running holder from the list."""
        process = self.holder(number)
        if process is not None and len(self.fleet.processes) > 1:
            self.fleet.remove_from_list(process)
            process.list_partitioned = True

    @rule(number=SHARE, steps=MOVE_STEPS, resume=FLAG)
    def move_share(self, number: int, steps: int, resume: bool) -> None:
        """Move a share from a running holder, which is partitioned late."""
        process = self.holder(number)
        if process is None:
            return
        self.fleet.remove_from_list(process)
        process.list_partitioned = True
        assigned = self.fleet.counts['assigned']
        for _ in range(steps):
            if self.fleet.counts['assigned'] == assigned:
                self.fleet.step(0.5)
        process.log_partitioned = True
        if resume:
            process.paused = True
            self.fleet.step(7)
            process.paused = False
        for _ in range(4):
            self.fleet.step(1)

    @rule(index=INDEX)
    def pause(self, index: int) -> None:
        """Pause or resume a process."""
        paused = [
            process
            for process in self.fleet.processes.values()
            if process.paused
        ]
        # Pauses one process at a time, so that requests are still admitted.
        process = paused[0] if paused else self.pick(index)
        process.paused = not paused

    @precondition(lambda machine: len(machine.fleet.processes) > 2)
    @rule(index=INDEX)
    def crash(self, index: int) -> None:
        """Crash a process."""
        self.fleet.crash(self.pick(index))

    @precondition(lambda machine: len(machine.fleet.processes) < MOST_PROCESSES)
    @rule(index=INDEX)
    def join(self, index: int) -> None:
        """Start a process."""
        self.fleet.add_process(ZONES[index % len(ZONES)])

    @rule(number=SHARE)
    def release(self, number: int) -> None:
        """Shut a holder down gracefully."""
        process = self.holder(number)
        if process is not None and not self.fleet.log_is_down:
            self.fleet.release(process)

    @rule()
    def change_log(self) -> None:
        """Stop the log, or start it again."""
        self.fleet.log_is_down = not self.fleet.log_is_down

    @rule()
    def clear_faults(self) -> None:
        """Clear all faults."""
        self.fleet.log_is_down = False
        for process in self.fleet.processes.values():
            process.paused = False
            process.log_partitioned = False
            process.list_partitioned = False
        self.wait_long(CLEAN_SECONDS)

    @rule(rate=RATE, burst=BURST)
    def put_contract(self, rate: int, burst: int) -> None:
        """Change the contract."""
        # The oracle cannot check rejections while the share sizes change.
        if not self.fleet.network:
            self.fleet.put_contract(rate, burst)

    @rule(index=INDEX, other=INDEX)
    def lose_link(self, index: int, other: int) -> None:
        """Lose all messages between two agents."""
        one = self.pick(index)
        if not one.paused:
            self.fleet.lose_link(one, self.pick(other).member)

    def teardown(self) -> None:
        """Compare the whole run with the oracle."""
        self.fleet.check_bound()
        for draw_id in self.fleet.requests:
            self.fleet.check_charged(draw_id)
        TOTALS.update(self.fleet.counts)
        TOTALS['runs'] += 1


class LoadedFleetMachine(FleetMachine):
    """The same under full load: each step takes all available tokens."""

    full_load = True


def run(
    machine: type[FleetMachine],
    examples: int,
    steps: int,
) -> Counter[str]:
    """Run a state machine and return the event counts of its runs."""
    TOTALS.clear()
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
    return TOTALS
