"""Steps for the membership view."""

from __future__ import annotations

from typing import Any

import attrs
import machine
from behave import given, then, when
from gypsumrelay_membership import (
    ConnectionRefused,
    DrainChanged,
    HeartbeatReceived,
    InstanceDescription,
    LinkClosed,
    ListReceived,
    MembershipView,
    Subject,
    WorkCompleted,
    accepts_new_work,
    apply_event,
    has_left,
    work_limit,
)


def entry(number: str, incarnation: str = '1') -> InstanceDescription:
    zone = 'lekki' if number == '3' else 'ikeja'
    name = f'agent-{number}'
    return InstanceDescription(
        name, incarnation, zone, upstream=f'model-{number}'
    )


ENTRIES = tuple(entry(number) for number in '123')


@given('a view of a list with 3 instances')
def start(context: Any) -> None:
    context.now = 10.0
    context.view = MembershipView()
    observe_event(context, ListReceived(1, ENTRIES))


def observe_event(context: Any, event: Any) -> None:
    apply_event(context.view, event, context.now)


@when('operators drain the {subject:w} "{name}"')
def drain(context: Any, subject: str, name: str) -> None:
    kind = Subject('availability_zone' if subject == 'zone' else subject)
    observe_event(context, DrainChanged(kind, name, drained=True))


@when('operators undrain the zone "{name}"')
def undrain(context: Any, name: str) -> None:
    observe_event(
        context,
        DrainChanged(Subject.availability_zone, name, drained=False),
    )


@when('"agent-{number}" reports that it drains')
def report_draining(context: Any, number: str) -> None:
    observe_event(context, HeartbeatReceived(entry(number), draining=True))


@when('"agent-{number}" reports')
def report(context: Any, number: str) -> None:
    observe_event(context, HeartbeatReceived(entry(number)))


@when('"agent-{number}" reports as incarnation "{incarnation}"')
def report_incarnation(context: Any, number: str, incarnation: str) -> None:
    observe_event(context, HeartbeatReceived(entry(number, incarnation)))


@when('the list says that "agent-1" leaves')
def list_leaving(context: Any) -> None:
    leaving = attrs.evolve(ENTRIES[0], leaving=True)
    observe_event(context, ListReceived(2, (leaving, *ENTRIES[1:])))


@when('the list has lost "agent-1"')
def list_without(context: Any) -> None:
    observe_event(context, ListReceived(2, ENTRIES[1:]))


@when('a newer list still contains "agent-1"')
def list_newer(context: Any) -> None:
    observe_event(context, ListReceived(3, ENTRIES))


@when('the list names incarnation "{incarnation}" of "agent-1"')
def list_incarnation(context: Any, incarnation: str) -> None:
    entries = (entry('1', incarnation), *ENTRIES[1:])
    observe_event(context, ListReceived(4, entries))


@when('an older list arrives')
def list_older(context: Any) -> None:
    observe_event(context, ListReceived(1, ENTRIES))


@when('"{name}" refuses a connection')
def refuse(context: Any, name: str) -> None:
    observe_event(context, ConnectionRefused(name, '1'))


@when('"{name}" refuses a connection as incarnation "{incarnation}"')
def refuse_incarnation(context: Any, name: str, incarnation: str) -> None:
    observe_event(context, ConnectionRefused(name, incarnation))


@when('the observer closes its link to "{name}"')
def end_link(context: Any, name: str) -> None:
    observe_event(context, LinkClosed(name))


@when('{seconds:g} seconds pass')
def wait(context: Any, seconds: float) -> None:
    context.now += seconds


@when('{count:d} requests are completed by "{name}"')
def complete(context: Any, count: int, name: str) -> None:
    for _ in range(count):
        observe_event(context, WorkCompleted(name))


@then('"{upstream}" gets no new work')
def check_no_new_work(context: Any, upstream: str) -> None:
    assert not accepts_new_work(context.view, upstream, context.now)


@then('"{upstream}" gets new work')
def check_new_work(context: Any, upstream: str) -> None:
    assert accepts_new_work(context.view, upstream, context.now)


@then('"{upstream}" gets at most {most:d} open request')
def check_limit(context: Any, upstream: str, most: int) -> None:
    assert work_limit(context.view, upstream).instance == most


@then('the zone of "{upstream}" gets at most {most:d} open request')
def check_zone_limit(context: Any, upstream: str, most: int) -> None:
    assert work_limit(context.view, upstream).availability_zone == most


@then('"{upstream}" has no limit')
def check_no_limit(context: Any, upstream: str) -> None:
    assert work_limit(context.view, upstream).instance is None


@then('the zone of "{upstream}" has no limit')
def check_no_zone_limit(context: Any, upstream: str) -> None:
    assert work_limit(context.view, upstream).availability_zone is None


@then('"{name}" runs as incarnation "{incarnation}"')
def check_incarnation(context: Any, name: str, incarnation: str) -> None:
    description = context.view.instances[name].description
    assert description.incarnation == incarnation


@then('incarnation "{incarnation}" of "{name}" is not gone')
def check_not_gone(context: Any, incarnation: str, name: str) -> None:
    assert not has_left(context.view, name, incarnation)


@then('incarnation "{incarnation}" of "{name}" is gone')
def check_gone(context: Any, incarnation: str, name: str) -> None:
    assert has_left(context.view, name, incarnation)


@then('{runs:d} runs of {steps:d} random events agree with the oracle')
def check_machine(context: Any, runs: int, steps: int) -> None:
    machine.run(runs, steps)
