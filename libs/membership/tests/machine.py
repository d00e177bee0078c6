"""Stateful test of the view against an oracle that replays all events."""

from __future__ import annotations

from typing import Any

from gypsumrelay_membership import (
    ConnectionRefused,
    DrainChanged,
    HeartbeatReceived,
    InstanceDescription,
    LinkClosed,
    ListReceived,
    MembershipView,
    Subject,
    accepts_new_work,
    apply_event,
    has_left,
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


def listed(
    name: str, incarnation: str, leaving: bool = False
) -> InstanceDescription:
    """Return an entry of the list."""
    upstream = name.replace('agent', 'model')
    return InstanceDescription(
        name, incarnation, ZONES[name], leaving, upstream
    )


class MembershipMachine(RuleBasedStateMachine):
    """Actual state of the instances, events that lag behind it, and oracle."""

    def __init__(self) -> None:
        """Start with an empty view."""
        super().__init__()
        self.view = MembershipView()
        self.now = float(0)
        self.incarnations = dict.fromkeys(ZONES, 1)
        self.is_running = dict.fromkeys(ZONES, True)
        self.lists: list[tuple[float, tuple[InstanceDescription, ...]]] = []
        self.events: list[tuple[float, Any]] = []
        self.publish()

    def publish(self) -> None:
        """Publish the actual state as the newest list."""
        entries = [
            listed(name, str(self.incarnations[name]))
            for name in ZONES
            if self.is_running[name]
        ]
        self.lists.append((self.now, tuple(entries)))

    def observe_event(self, event: Any) -> None:
        """Apply one event to the view and record it for the oracle."""
        self.events.append((self.now, event))
        apply_event(self.view, event, self.now)

    @rule(name=NAME)
    def restart(self, name: str) -> None:
        """Start a new incarnation of an instance."""
        self.incarnations[name] += 1
        self.is_running[name] = True
        self.publish()

    @rule(name=NAME)
    def stop(self, name: str) -> None:
        """End an instance."""
        self.is_running[name] = False
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
        self.observe_event(ListReceived(version, self.lists[version][1]))

    @rule(name=NAME, draining=FLAG)
    def report(self, name: str, draining: bool) -> None:
        """Receive a heartbeat, if the instance is running."""
        if self.is_running[name]:
            entry = listed(name, str(self.incarnations[name]))
            self.observe_event(HeartbeatReceived(entry, draining))

    @rule(name=NAME, age=st.integers(min_value=0, max_value=1))
    def refuse(self, name: str, age: int) -> None:
        """Refuse a connection to the current or the previous incarnation."""
        incarnation = self.incarnations[name] - age
        # The address of an incarnation is unknown before its first event.
        if incarnation <= self.newest_incarnation(name):
            self.observe_event(ConnectionRefused(name, str(incarnation)))

    @rule(name=NAME)
    def end_link(self, name: str) -> None:
        """Close the link to an instance."""
        self.observe_event(LinkClosed(name))

    @rule(zone=st.sampled_from(['ikeja', 'lekki']), drained=FLAG)
    def drain(self, zone: str, drained: bool) -> None:
        """Drain a zone or end its drain."""
        self.observe_event(
            DrainChanged(Subject.availability_zone, zone, drained)
        )

    @rule(seconds=st.sampled_from([0.5, 2, 4]))
    def wait(self, seconds: float) -> None:
        """Advance the time."""
        self.now += seconds

    @invariant()
    def agrees(self) -> None:
        """Compare the view of each instance with the oracle."""
        for name in ZONES:
            upstream = name.replace('agent', 'model')
            accepted = accepts_new_work(self.view, upstream, self.now)
            if name in self.view.undecided:
                assert self.is_undecided(name), (name, self.events)
            else:
                assert accepted == self.expects_new_work(name), (
                    name,
                    self.events,
                )
            for incarnation in range(1, self.incarnations[name] + 1):
                is_gone = has_left(self.view, name, str(incarnation))
                assert is_gone == self.is_gone(name, str(incarnation)), name

    def newest_list(self) -> dict[str, str]:
        """Return the incarnations of the newest list by name."""
        newest = ListReceived(-1, ())
        for _, event in self.events:
            if (
                isinstance(event, ListReceived)
                and event.version > newest.version
            ):
                newest = event
        return {one.name: one.incarnation for one in newest.instances}

    def listed_incarnations(self, name: str) -> set[str]:
        """Return the incarnations of an instance in all applied lists."""
        newest_version, incarnations = -1, set()
        for _, event in self.events:
            if (
                isinstance(event, ListReceived)
                and event.version > newest_version
            ):
                newest_version = event.version
                incarnations.update(
                    one.incarnation
                    for one in event.instances
                    if one.name == name
                )
        return incarnations

    def is_gone(self, name: str, incarnation: str) -> bool:
        """Return whether an incarnation has left the list."""
        if incarnation not in self.listed_incarnations(name):
            return False
        return self.newest_list().get(name) != incarnation

    def is_undecided(self, name: str) -> bool:
        """Return whether the list may lag behind the last heartbeat."""
        reports = [
            (at, event.instance.incarnation)
            for at, event in self.events
            if isinstance(event, HeartbeatReceived)
            and event.instance.name == name
        ]
        at, incarnation = reports[-1]
        listed_at = max(
            at for at, event in self.events if isinstance(event, ListReceived)
        )
        return (
            incarnation not in self.listed_incarnations(name)
            and listed_at < at + 3
        )

    def newest_incarnation(self, name: str) -> int:
        """Return the newest incarnation of all events.

        Incarnations are consecutive numbers in this test.
        """
        reported = [
            int(event.instance.incarnation)
            for _, event in self.events
            if isinstance(event, HeartbeatReceived)
            and event.instance.name == name
        ]
        return max([0, *map(int, self.listed_incarnations(name)), *reported])

    def expects_new_work(self, name: str) -> bool:
        """Return whether new work may be sent, according to all events."""
        incarnation = self.newest_incarnation(name)
        if not incarnation or self.is_gone(name, str(incarnation)):
            return False
        drained = False
        draining = False
        refused_until = float(0)
        report_until = None
        for at, event in self.events:
            if isinstance(event, DrainChanged) and event.name == ZONES[name]:
                drained = event.drained
            elif isinstance(event, HeartbeatReceived):
                entry = event.instance
                if (entry.name, entry.incarnation) == (name, str(incarnation)):
                    draining = event.draining
                    refused_until = 0
                    report_until = at + 3
            elif isinstance(event, ConnectionRefused):
                if (event.name, event.incarnation) == (name, str(incarnation)):
                    refused_until = at + 3
                    report_until = None
            elif isinstance(event, LinkClosed) and event.name == name:
                report_until = None
        if drained or draining or self.now < refused_until:
            return False
        if report_until is None:
            return self.newest_list().get(name) == str(incarnation)
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
