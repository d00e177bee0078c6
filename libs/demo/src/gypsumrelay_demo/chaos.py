"""Fault injection into a running system: seeded random faults, two at once."""

from __future__ import annotations

import random
import signal
import threading
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs
import urllib3
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import DrainSet
from gypsumrelay_platform import LogClient

from gypsumrelay_demo.load import Sent, Tally, make_load, send, settle
from gypsumrelay_demo.processes import get_json, post_json, wait_until
from gypsumrelay_demo.system import Node, System

CALLER_THREADS: Final = 8
LOAD_REQUESTS: Final = 4000
MEMORY_TIMEOUT_SECONDS: Final = 15.0

Undo = Callable[[], None]


@attrs.define
class Chaos:
    """Injects random faults into a running system.

    Entries are not killed, since the connections of their callers would break
    too; features/requests_survive.feature covers that case.

    Attributes:
        system: The running system.
        rng: Random number generator.
        drains: Version of each availability zone's drain.
        history: Descriptions of all injected faults.
        killed: Engines that a fault has killed and not yet restarted.
    """

    system: System
    rng: random.Random
    drains: dict[str, int] = attrs.field(factory=dict)
    history: list[str] = attrs.field(factory=list)
    killed: set[str] = attrs.field(factory=set)

    def next_fault(self) -> Undo:
        """Inject a random fault and return a callable that reverts it."""
        kinds = (
            self.kill_agent,
            self.kill_engine,
            self.suspend_agent,
            self.suspend_engine,
            self.disrupt_log,
            self.disrupt_list,
            self.drain_zone,
            self.reset_engine,
        )
        return self.rng.choice(kinds)()

    def record_fault(self, fault: str) -> None:
        """Append a fault to the history for the report."""
        self.history.append(fault)

    def kill_agent(self) -> Undo:
        """Kill an agent; the reverting callable restarts it."""
        node = self.rng.choice(list(self.system.agents.values()))
        self.record_fault(f'kill {node.process.name}')
        self.system.kill(node)
        return lambda: self.system.restart(node)

    def kill_engine(self) -> Undo:
        """Kill an engine; the reverting callable restarts it."""
        node = self.choose_engine()
        self.record_fault(f'kill {node.process.name}')
        name = node.process.name
        node.process.kill()
        self.killed.add(name)

        def revert() -> None:
            self.killed.discard(name)
            if not node.process.is_running():
                node.process.start()

        return revert

    def suspend_agent(self) -> Undo:
        """Suspend a random agent."""
        return self.suspend(self.rng.choice(list(self.system.agents.values())))

    def suspend_engine(self) -> Undo:
        """Suspend a random engine."""
        return self.suspend(self.choose_engine())

    def suspend(self, node: Node) -> Undo:
        """Suspend a process with SIGSTOP."""
        self.record_fault(f'freeze {node.process.name}')
        node.process.signal(signal.SIGSTOP)
        return lambda: node.process.signal(signal.SIGCONT)

    def disrupt_log(self) -> Undo:
        """Make the log unavailable, slow it down or drop its responses."""
        fault = self.rng.choice(
            ({'down': True}, {'slow_ms': 1500}, {'lose_answers': 3}),
        )
        self.record_fault(f'log {fault}')
        url = f'{self.system.platform["log"].url}/fault'
        post_json(self.system.pool, url, fault)
        no_faults = {'down': False, 'slow_ms': 0, 'lose_answers': 0}
        return lambda: _post(self.system, url, no_faults)

    def disrupt_list(self) -> Undo:
        """Make the instance list unavailable."""
        self.record_fault('list down')
        url = f'{self.system.platform["instances"].url}/fault'
        post_json(self.system.pool, url, {'down': True})
        return lambda: _post(self.system, url, {'down': False})

    def drain_zone(self) -> Undo:
        """Drain a random availability zone."""
        zone = self.rng.choice(self.system.deployment.availability_zones)
        self.record_fault(f'drain {zone}')
        self.set_drain(zone, drained=True)
        return lambda: self.set_drain(zone, drained=False)

    def set_drain(self, zone: str, *, drained: bool) -> None:
        """Publish one record that starts or ends the drain of a zone."""
        version = self.drains.get(zone, 0)
        record = DrainSet(
            f'chaos-{zone}-{version}',
            version,
            'availability_zone',
            zone,
            drained,
        )
        client = LogClient(self.system.platform['log'].url)
        if isinstance(client.append([record]), int):
            self.drains[zone] = version + 1

    def reset_engine(self) -> Undo:
        """Reset a random engine to its cold state."""
        node = self.choose_engine()
        self.record_fault(f'cold {node.process.name}')
        _post(self.system, f'{node.url}/fault', {'cold': True})
        return lambda: None

    def restart_crashed(self) -> None:
        """Restart upstreams that crashed, such as overloaded cold engines."""
        for name, node in self.system.upstreams.items():
            if not node.process.is_running() and name not in self.killed:
                self.record_fault(f'restart {name}')
                node.process.start()

    def choose_engine(self) -> Node:
        """Return the node of a random engine."""
        names = [
            place.name
            for place in self.system.deployment.upstreams
            if place.kind != 'service'
        ]
        return self.system.upstreams[self.rng.choice(names)]


def run_chaos(system: System, seconds: float, seed: int) -> tuple[Tally, Chaos]:
    """Send requests while faults are injected.

    Args:
        system: The running system.
        seconds: Duration of the run.
        seed: Seed of the faults and the load.

    Returns:
        The counts of outcomes and the injected faults.
    """
    chaos = Chaos(system, random.Random(seed))  # noqa: S311 - reproducible
    load = iter(make_load(system, LOAD_REQUESTS, seed))
    tally = Tally()
    sent: list[Sent] = []
    deadline = monotonic() + seconds
    callers = [
        threading.Thread(
            target=_send_until,
            args=(system, load, tally, deadline, sent),
        )
        for _ in range(CALLER_THREADS)
    ]
    for started in callers:
        started.start()
    _inject_faults(chaos, deadline)
    for caller in callers:
        caller.join()
    settle(system, sent, tally)
    return tally, chaos


def engines_are_free(system: System) -> bool:
    """Return whether all engines free their memory in time."""
    names = [
        place.name
        for place in system.deployment.upstreams
        if place.kind != 'service'
    ]

    def is_free() -> bool:
        records = [
            get_json(system.pool, f'{system.upstreams[name].url}/record')
            for name in names
        ]
        return all(record and not record['held_pieces'] for record in records)

    return wait_until(is_free, MEMORY_TIMEOUT_SECONDS)


def _inject_faults(chaos: Chaos, deadline: float) -> None:
    """Keep up to two faults active, and revert all of them at the end."""
    reverts: list[Undo] = []
    while monotonic() < deadline:
        reverts.append(chaos.next_fault())
        _pause(chaos.rng.uniform(0.5, 2))
        chaos.restart_crashed()
        if len(reverts) > 1:
            reverts.pop(0)()
    for revert in reverts:
        revert()
    chaos.restart_crashed()


def _pause(seconds: float) -> None:
    deadline = monotonic() + seconds
    wait_until(lambda: monotonic() >= deadline, seconds + 1)


def _send_until(
    system: System,
    load: Iterator[Sent],
    tally: Tally,
    deadline: float,
    sent: list[Sent],
) -> None:
    pool = urllib3.PoolManager()
    while monotonic() < deadline:
        with tally.lock:
            request = next(load)
            sent.append(request)
        reply = send(system, request, pool)
        tally.count_reply(request, reply)
        if reply.outcome:
            _pause(0.1)


def _post(system: System, url: str, body: dict[str, Any]) -> None:
    post_json(system.pool, url, body)
