"""Steps for fencing, role changes and weight loads."""

from __future__ import annotations

import math
from typing import Any

import attrs
from behave import then
from gypsumrelay_upstreams import (
    Command,
    CommandDenial,
    CommandFence,
    FenceSettings,
    Purpose,
    is_superseded,
    issue_command,
    may_take_effect,
    next_token_record,
    observe_log_read,
    observe_token,
    roles,
    takeover_seconds,
    weights,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

AGENTS = st.integers(0, 2)


@attrs.define
class Upstream:
    """Model of an upstream that accepts commands with fencing tokens."""

    checks_tokens: bool
    number: int = 0

    def accept(self, command: Command) -> bool:
        """Accept a command unless the upstream checks tokens and it is old."""
        if self.checks_tokens and command.number < self.number:
            return False
        assert command.number >= self.number, 'an old command takes effect'
        self.number = command.number
        return True


class FenceMachine(RuleBasedStateMachine):
    """Several agents take tokens and send commands, with pauses and delays."""

    checks_tokens = True

    def __init__(self) -> None:
        """Start three agents of one upstream."""
        super().__init__()
        self.now = 100.0
        self.log: list[int] = []
        self.upstream = Upstream(self.checks_tokens)
        self.fences = [self.new_fence(agent) for agent in range(3)]
        self.commands: dict[int, Command] = {}
        self.sent: dict[int, list[tuple[Command, float]]] = {}

    def new_fence(self, agent: int) -> CommandFence:
        """Return the fencing state of an agent that has just started."""
        name = str(agent)
        return CommandFence(
            FenceSettings(name, name, checks_tokens=self.checks_tokens)
        )

    @rule(agent=AGENTS)
    def take_token(self, agent: int) -> None:
        """Append a token record; the log accepts only the next number."""
        record = next_token_record(self.fences[agent])
        if record is not None and record.number == len(self.log) + 1:
            self.log.append(agent)

    @rule(agent=AGENTS)
    def read_log(self, agent: int) -> None:
        """Read the log to its end."""
        fence = self.fences[agent]
        for number, holder in enumerate(self.log, 1):
            name = str(holder)
            observe_token(fence, number, name, name, self.now)
        observe_log_read(fence, self.now)

    @rule(agent=AGENTS)
    def issue(self, agent: int) -> None:
        """Issue a command, which may be sent later."""
        command = issue_command(self.fences[agent], self.now)
        if isinstance(command, Command):
            self.commands[agent] = command

    @rule(agent=AGENTS)
    def send(self, agent: int) -> None:
        """Check an issued command and send it."""
        command = self.commands.get(agent)
        fence = self.fences[agent]
        if command and may_take_effect(fence, command, self.now):
            until = self.now + fence.settings.transit_seconds
            self.sent.setdefault(agent, []).append((command, until))

    @rule(agent=AGENTS)
    def deliver(self, agent: int) -> None:
        """Deliver the sent commands whose requests have not timed out."""
        for command, until in self.sent.pop(agent, []):
            if self.now < until:
                self.upstream.accept(command)

    @rule(seconds=st.sampled_from([0.5, 1.9, 2.9, 4.9]))
    def advance(self, seconds: float) -> None:
        """Advance the clock; agents without a step meanwhile are paused."""
        self.now += seconds

    @rule(old=AGENTS, new=AGENTS)
    def delay_takeover(self, old: int, new: int) -> None:
        """Delay the last command of a superseded agent to the time limits."""
        self.read_log(old)
        self.take_token(new)
        self.read_log(new)
        self.advance(2.9)
        self.issue(old)
        self.advance(4.9)
        self.send(old)
        self.advance(1.9)
        self.read_log(new)
        for step in (self.issue, self.send, self.deliver):
            step(new)
        self.deliver(old)

    def teardown(self) -> None:
        """Check that the newest holder can send a command in the end."""
        if not self.log:
            return
        holder = self.log[-1]
        self.read_log(holder)
        self.now += takeover_seconds(self.fences[holder].settings)
        self.read_log(holder)
        command = issue_command(self.fences[holder], self.now)
        assert isinstance(command, Command), command
        assert self.upstream.accept(command)


class IgnoringMachine(FenceMachine):
    """Runs the same test with an upstream that ignores tokens."""

    checks_tokens = False


@then(
    '{runs:d} random histories of commands to an upstream that {kind} tokens '
    'let no old command take effect',
)
def run_machine(context: Any, runs: int, kind: str) -> None:
    run_state_machine_as_test(
        FenceMachine if kind == 'checks' else IgnoringMachine,
        settings=settings(
            max_examples=runs,
            stateful_step_count=40,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )


def fence_of_holder(*, earlier: int) -> CommandFence:
    fence = CommandFence(FenceSettings('a', '1', checks_tokens=False))
    for number in range(1, earlier + 1):
        observe_token(fence, number, 'b', '1', 0)
    observe_token(fence, earlier + 1, 'a', '1', 0)
    observe_log_read(fence, 0)
    return fence


@then('an agent without a token may issue nothing')
def check_not_holder(context: Any) -> None:
    fence = CommandFence(FenceSettings('a', '1'))
    observe_log_read(fence, 0)
    assert issue_command(fence, 0) is CommandDenial.not_holder


@then(
    "a token after another agent's is usable only after that agent's last "
    'command has expired',
)
def check_wait(context: Any) -> None:
    fence = fence_of_holder(earlier=1)
    usable_at = takeover_seconds(fence.settings)
    observe_log_read(fence, usable_at)
    assert (
        issue_command(fence, usable_at - 0.01)
        is CommandDenial.old_agent_may_act
    )
    assert isinstance(issue_command(fence, usable_at), Command)


@then('an agent whose last read of the log is old may issue nothing')
def check_evidence(context: Any) -> None:
    fence = fence_of_holder(earlier=0)
    assert isinstance(issue_command(fence, 2.9), Command)
    assert issue_command(fence, 3) is CommandDenial.stale_evidence


@then('a command expires when its deadline passes or its token is superseded')
def check_expired(context: Any) -> None:
    fence = fence_of_holder(earlier=0)
    command = issue_command(fence, 0)
    assert isinstance(command, Command)
    assert may_take_effect(fence, command, 4.9)
    assert not may_take_effect(fence, command, 5)
    observe_token(fence, 2, 'b', '1', 1)
    assert not may_take_effect(fence, command, 1)


@then('a superseded agent takes no second token')
def check_no_second_token(context: Any) -> None:
    fence = fence_of_holder(earlier=0)
    observe_token(fence, 2, 'b', '1', 1)
    assert is_superseded(fence)
    assert next_token_record(fence) is None
    assert issue_command(fence, 1) is CommandDenial.superseded


@then('the wanted role of a decode upstream is')
def check_roles(context: Any) -> None:
    for row in context.table:
        loads = float(row['prefill']), float(row['decode'])
        samples = [
            roles.Demand(1000 - age, *loads)
            for age in range(0, int(row['seconds']) + 1, 5)
        ]
        view = roles.RoleView(
            Purpose.decode,
            1000 - float(row['changed']),
            float(row['position']),
            int(row['pool']),
        )
        found = roles.wanted_role(roles.RoleSettings(), view, samples, 1000)
        assert found.value == row['role'], row


@then(
    'a load starts in its slot, not before, and a missed slot is requested '
    'again',
)
def check_loads(context: Any) -> None:
    loads = weights.WeightLoads()
    loads.pending = {'one': 5, 'two': 6}
    assert weights.next_load(loads, 0) == weights.RequestSlot('one', 5)
    assert weights.next_load(loads, 1.9) is None
    assert weights.next_load(loads, 2) == weights.RequestSlot('one', 5)
    weights.record_slot(loads, 0, 0, 3)
    assert math.isinf(loads.start_at), 'a response to an old request is used'
    weights.record_slot(loads, 2, 5, 3)
    assert weights.next_load(loads, 7.9) is None
    assert weights.next_load(loads, 9.1) == weights.RequestSlot('one', 5)
    weights.record_slot(loads, 9.1, 1, 9.2)
    assert weights.next_load(loads, 10.2) == weights.StartLoad('one')
    assert weights.next_load(loads, 10.3) is None
    weights.remove_load(loads, 'one')
    assert weights.next_load(loads, 10.4) == weights.RequestSlot('two', 6)
