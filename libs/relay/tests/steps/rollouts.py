"""Steps of rollouts.feature."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any, Final

import attrs
from behave import given, then, when
from gypsumrelay_dispatch import (
    Ending,
    Phase,
    RolloutCounts,
    SchedulerState,
    ServiceLimits,
    Upstream,
    apply_configuration,
    apply_upstreams,
    tick,
)
from gypsumrelay_relay import RecordReader
from gypsumrelay_relay.metrics import RelayMetrics
from gypsumrelay_relay.rollouts import (
    TakeRolloutWork,
    apply_rollout_message,
    report_from_wire,
    report_to_wire,
    take_rollout_work,
)
from gypsumrelay_relay.rollouts.history import RolloutHistory
from gypsumrelay_relay.rollouts.keeper import RolloutKeeper
from gypsumrelay_relay.topics import Topic
from gypsumrelay_rollouts import (
    Bounds,
    Order,
    Rollouts,
    Stage,
    State,
    Status,
    Totals,
    apply_orders,
    may_place,
)
from gypsumrelay_settings import DispatchSettings
from simulated_store import SimulatedStore

SERVICE: Final = 'app'
NOW: Final = 1000.0
KEY: Final = 'rollout/app'


def read_statuses(records: Any) -> dict[str, Status]:
    found = {}
    for record in records.values():
        version, state = json.loads(record)
        found[SERVICE] = Status(SERVICE, version, State(state), 60)
    return found


def status_record(status: Status) -> tuple[str, bytes]:
    record = json.dumps([status.version, status.state.value])
    return KEY, record.encode()


READER: Final = RecordReader(
    lambda _: None,
    lambda _: frozenset(),
    lambda *_: None,
    statuses=read_statuses,
    status_record=status_record,
)


class Guard:
    """A lock of a relay without threads."""

    def __enter__(self) -> None:
        """Do nothing."""

    def __exit__(self, *_: object) -> None:
        """Do nothing."""


@attrs.define(eq=False)
class RelayDouble:
    """A relay with its coordinator's state, but without threads."""

    scheduler: SchedulerState
    keeper: Any = None
    coordination: Any = None
    now: float = NOW

    def tell(self, message: Any) -> None:
        """Apply a message at once."""
        apply_rollout_message(self.scheduler.rollouts, message, self.now)

    def ask(self, message: Any) -> Any:
        """Return the work of the roll-outs."""
        assert isinstance(message, TakeRolloutWork)
        return take_rollout_work(self.scheduler.rollouts)

    def step(self, count: int = 4) -> None:
        """Let the coordinator and the keeper work in turn."""
        for _ in range(count):
            self.now += 1
            tick(self.scheduler, self.now)
            self.keeper.write_due_at = 0
            self.keeper.check(self.now)

    @property
    def rollout(self) -> Any:
        """Return the roll-out of the service."""
        return self.scheduler.rollouts.current[SERVICE]


def new_relay(store: SimulatedStore, name: str) -> RelayDouble:
    scheduler = SchedulerState(
        DispatchSettings(),
        rollouts=Rollouts(Bounds(0.1, 50, enabled=True)),
    )
    apply_configuration(scheduler, [ServiceLimits(SERVICE)], [], NOW)
    order = Order(SERVICE, 'v2', 60)
    apply_orders(scheduler.rollouts, {SERVICE: order}, NOW)
    pool = [
        Upstream(
            version,
            SERVICE,
            f'{version}:1',
            'z',
            Phase.plain,
            8,
            version=version,
        )
        for version in ('v1', 'v2')
    ]
    apply_upstreams(scheduler, pool, NOW)
    relay = RelayDouble(scheduler)
    relay.coordination = SimpleNamespace(
        name=name, leader='', link=None, lock=Guard(), actor=relay
    )
    shared = SimpleNamespace(
        coordination=relay.coordination,
        metrics=RelayMetrics(SimpleNamespace(count=lambda _: None)),
    )
    relay.keeper = RolloutKeeper(shared, store.client(), READER)
    return relay


@given('a store and two relays with an order to move "app" to "v2"')
def give_relays(context: Any) -> None:
    context.store = SimulatedStore()
    context.relays = {
        name: new_relay(context.store, name) for name in ('first', 'second')
    }


def set_leader(relay: RelayDouble, *, leads: bool) -> None:
    relay.coordination.leader = relay.coordination.name if leads else 'other'
    relay.step()


@when('the {name} relay coordinates')
@when('the {name} relay coordinates as well')
def coordinate(context: Any, name: str) -> None:
    set_leader(context.relays[name], leads=True)


@when('the second relay coordinates instead')
def hand_over(context: Any) -> None:
    set_leader(context.relays['first'], leads=False)
    set_leader(context.relays['second'], leads=True)


@when('nobody coordinates')
def coordinate_nobody(context: Any) -> None:
    for relay in context.relays.values():
        set_leader(relay, leads=False)


@when('the store is unavailable')
def leave(context: Any) -> None:
    context.store.is_away = True


@when('the store answers again')
def come_back(context: Any) -> None:
    context.store.is_away = False
    context.relays['first'].step()


@when('the {name} relay reverts the roll-out')
def revert(context: Any, name: str) -> None:
    relay = context.relays[name]
    relay.rollout.stage = Stage.reverted
    relay.step()


@when('the first relay completes the roll-out without a read')
def complete(context: Any) -> None:
    relay = context.relays['first']
    relay.rollout.stage = Stage.completed
    relay.keeper.read_due_at = float('inf')
    relay.step(1)
    relay.rollout.stage = Stage.draining
    relay.step()


@then('the status in the store is "{state}"')
def check_status(context: Any, state: str) -> None:
    found = read_statuses(context.store.newest(Topic.status))
    assert found[SERVICE].state.value == state, found


@then('the store has no status')
def check_none(context: Any) -> None:
    assert not context.store.newest(Topic.status)


@then('the new version gets nothing')
def check_nothing(context: Any) -> None:
    rollouts = context.relays['first'].scheduler.rollouts
    assert not may_place(rollouts, SERVICE, 'v2')


@then('the {name} relay has reverted the roll-out')
def check_reverted(context: Any, name: str) -> None:
    assert context.relays[name].rollout.stage is Stage.reverted


def placement_of(number: int) -> Any:
    request = SimpleNamespace(service=SERVICE, key=(f'request-{number}', 1))
    return SimpleNamespace(
        request=request,
        version='v2',
        upstreams=('v2',),
        rollout=RolloutCounts('v2', 100, 12, Totals(slow=2)),
    )


@given(
    'a relay with {count:d} answers of "v2" under the coordinator '
    '"{coordinator}"'
)
def give_answers(context: Any, count: int, coordinator: str) -> None:
    context.history = RolloutHistory()
    for number in range(count):
        placement = placement_of(number)
        context.history.record_grant(placement, coordinator)
        context.history.record_end(placement, Ending.answered)


@given('one more that "{granter}" granted and that ended under "{coordinator}"')
def give_late_answer(context: Any, granter: str, coordinator: str) -> None:
    placement = placement_of(-1)
    context.history.record_grant(placement, granter)
    list(context.history.reports('relay', coordinator))
    context.history.record_end(placement, Ending.answered)


@when('it reports to {coordinator}')
def report_to(context: Any, coordinator: str) -> None:
    found = list(context.history.reports('relay', coordinator))
    context.report = found[0].report


@then('it reports {answers:d} answers, {slow:d} slow ones and {sent:d} sends')
def check_report(context: Any, answers: int, slow: int, sent: int) -> None:
    report = context.report
    found = (report.answers, report.totals.slow, report.sent)
    assert found == (answers, slow, sent), found


@given('a relay with grants of {first} and then {second} counts')
def give_counts(context: Any, first: str, second: str) -> None:
    context.history = RolloutHistory()
    for number, counts in enumerate((first, second)):
        placement = placement_of(number)
        placement.rollout = RolloutCounts(
            'v2', 100, 12, is_partial=counts == 'partial'
        )
        context.history.record_grant(placement, 'a/1')


@then('it reports {counts} counts over the wire')
def check_partial(context: Any, counts: str) -> None:
    found = report_from_wire(report_to_wire(context.report), 'relay').report
    assert found.is_partial == (counts == 'partial')
