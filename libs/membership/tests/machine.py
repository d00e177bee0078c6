"""Stateful test of the view against an oracle that replays all events."""

from __future__ import annotations

from typing import Any

from gypsumrelay_membership import (
    ConnectionRefused,
    DrainSeen,
    LinkEnded,
    Listed,
    ListSeen,
    Reported,
    Subject,
    View,
    accepts_new_work,
    gone,
    observe,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

NAME = st.sampled_from(['agent-1', 'agent-2', 'agent-3'])
ZONES = {'agent-1': 'ikeja', 'agent-2': 'ikeja', 'agent-3': 'lekki'}
FLAG = st.booleans()


def listed(name: str, incarnation: str, leaving: bool = False) -> Listed:
    """Return an entry of the list."""
    upstream = name.replace('agent', 'model')
    return Listed(name, incarnation, ZONES[name], leaving, upstream)


class MembershipMachine(RuleBasedStateMachine):
    """Actual state of the instances, events that lag behind it, and oracle."""

    def __init__(self) -> None:
        """Start with an empty view."""
        super().__init__()
        self.view = View()
        self.now = float(0)
        self.lives = dict.fromkeys(ZONES, 1)
        self.running = dict.fromkeys(ZONES, True)
        self.lists: list[tuple[float, tuple[Listed, ...]]] = []
        self.seen: list[tuple[float, Any]] = []
        self.publish()

    def publish(self) -> None:
        """Publish the actual state as the newest list."""
        entries = [
            listed(name, str(self.lives[name]))
            for name in ZONES
            if self.running[name]
        ]
        self.lists.append((self.now, tuple(entries)))

    def see(self, event: Any) -> None:
        """Apply one event to the view and record it for the oracle."""
        self.seen.append((self.now, event))
        observe(self.view, event, self.now)

    @rule(name=NAME)
    def restart(self, name: str) -> None:
        """Start a new incarnation of an instance."""
        self.lives[name] += 1
        self.running[name] = True
        self.publish()

    @rule(name=NAME)
    def stop(self, name: str) -> None:
        """End an instance."""
        self.running[name] = False
        self.publish()

    @rule(age=st.integers(min_value=0, max_value=3))
    def read_list(self, age: int) -> None:
        """Read a version of the list that lags by less than 3 s."""
        newest = len(self.lists) - 1
        current = [
            version
            for version, (at, _) in enumerate(self.lists)
            if at <= self.now - 3
        ]
        version = max([0, newest - age, *current])
        self.see(ListSeen(version, self.lists[version][1]))

    @rule(name=NAME, draining=FLAG)
    def report(self, name: str, draining: bool) -> None:
        """Receive a heartbeat, if the instance is running."""
        if self.running[name]:
            entry = listed(name, str(self.lives[name]))
            self.see(Reported(entry, draining))

    @rule(name=NAME, age=st.integers(min_value=0, max_value=1))
    def refuse(self, name: str, age: int) -> None:
        """Refuse a connection to the current or the previous incarnation."""
        life = self.lives[name] - age
        # The address of an incarnation is unknown before its first event.
        if life <= self.newest_life(name):
            self.see(ConnectionRefused(name, str(life)))

    @rule(name=NAME)
    def end_link(self, name: str) -> None:
        """Close the link to an instance."""
        self.see(LinkEnded(name))

    @rule(zone=st.sampled_from(['ikeja', 'lekki']), drained=FLAG)
    def drain(self, zone: str, drained: bool) -> None:
        """Drain a zone or end its drain."""
        self.see(DrainSeen(Subject.availability_zone, zone, drained))

    @rule(seconds=st.sampled_from([0.5, 2, 4]))
    def wait(self, seconds: float) -> None:
        """Advance the time."""
        self.now += seconds

    @invariant()
    def agrees(self) -> None:
        """Compare the view of each instance with the oracle."""
        for name in ZONES:
            upstream = name.replace('agent', 'model')
            found = accepts_new_work(self.view, upstream, self.now)
            if name in self.view.undecided:
                assert self.is_open_question(name), (name, self.seen)
            else:
                assert found == self.expected(name), (name, self.seen)
            for life in range(1, self.lives[name] + 1):
                is_gone = gone(self.view, name, str(life))
                assert is_gone == self.is_gone(name, str(life)), name

    def newest_list(self) -> dict[str, str]:
        """Return the incarnations of the newest list by name."""
        best = ListSeen(-1, ())
        for _, event in self.seen:
            if isinstance(event, ListSeen) and event.version > best.version:
                best = event
        return {one.name: one.incarnation for one in best.instances}

    def lives_listed(self, name: str) -> set[str]:
        """Return the incarnations of an instance in all applied lists."""
        taken, lives = -1, set()
        for _, event in self.seen:
            if isinstance(event, ListSeen) and event.version > taken:
                taken = event.version
                lives.update(
                    one.incarnation
                    for one in event.instances
                    if one.name == name
                )
        return lives

    def is_gone(self, name: str, life: str) -> bool:
        """Return whether an incarnation has left the list."""
        if life not in self.lives_listed(name):
            return False
        return self.newest_list().get(name) != life

    def is_open_question(self, name: str) -> bool:
        """Return whether the list may lag behind the last heartbeat."""
        reports = [
            (at, event.instance.incarnation)
            for at, event in self.seen
            if isinstance(event, Reported) and event.instance.name == name
        ]
        at, life = reports[-1]
        listed_at = max(
            at for at, event in self.seen if isinstance(event, ListSeen)
        )
        return life not in self.lives_listed(name) and listed_at < at + 3

    def newest_life(self, name: str) -> int:
        """Return the newest incarnation of all events.

        Incarnations are consecutive numbers in this test.
        """
        reported = [
            int(event.instance.incarnation)
            for _, event in self.seen
            if isinstance(event, Reported) and event.instance.name == name
        ]
        return max([0, *map(int, self.lives_listed(name)), *reported])

    def expected(self, name: str) -> bool:
        """Return whether new work may be sent, according to all events."""
        life = self.newest_life(name)
        if not life or self.is_gone(name, str(life)):
            return False
        drained = False
        draining = False
        refused_until = float(0)
        report_until = None
        for at, event in self.seen:
            if isinstance(event, DrainSeen) and event.name == ZONES[name]:
                drained = event.drained
            elif isinstance(event, Reported):
                entry = event.instance
                if (entry.name, entry.incarnation) == (name, str(life)):
                    draining = event.draining
                    refused_until = 0
                    report_until = at + 3
            elif isinstance(event, ConnectionRefused):
                if (event.name, event.incarnation) == (name, str(life)):
                    refused_until = at + 3
                    report_until = None
            elif isinstance(event, LinkEnded) and event.name == name:
                report_until = None
        if drained or draining or self.now < refused_until:
            return False
        if report_until is None:
            return self.newest_list().get(name) == str(life)
        return self.now < report_until


def run(examples: int, steps: int) -> None:
    """Run the state machine."""
    run_state_machine_as_test(
        MembershipMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
