"""Steps of draining.feature."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_errors import Outcome
from gypsumrelay_relay.coordination.client import PendingRequest
from gypsumrelay_relay.draining import (
    may_pass_on,
    plan_shutdown,
    reject_draining,
    reject_waiting,
)
from gypsumrelay_settings import ShutdownSettings


def new_request(deadline: float, digest: str = 'a') -> Any:
    """Return what the decisions need of a placement request."""
    return SimpleNamespace(deadline=deadline, digest=digest.encode())


def is_rejected(context: Any, digest: str, wait: float, now: float) -> bool:
    """Return whether a request that arrives now is rejected."""
    request = new_request(now + wait, digest)
    return reject_draining(context.shutdown, request, now, now) is not None


@given('a shutdown that starts at second {start:g} and ends at second {end:g}')
def give_shutdown(context: Any, start: float, end: float) -> None:
    context.start = start
    context.total = end - start


@given('a listener that closes {seconds:g} seconds after its start')
def give_listener(context: Any, seconds: float) -> None:
    settings = ShutdownSettings(seconds, context.total)
    context.shutdown = plan_shutdown(settings, context.start)


@then(
    'a request of second {arrived:g} with {wait:g} seconds is {decision} at '
    'second {now:g}',
)
def check_decision(
    context: Any, arrived: float, wait: float, decision: str, now: float
) -> None:
    is_passed = may_pass_on(context.shutdown, arrived, arrived + wait, now)
    assert decision in {'passed on', 'rejected'}
    assert is_passed == (decision == 'passed on')


@then('the listener closes before second {second:g}')
def check_listener(context: Any, second: float) -> None:
    assert context.start <= context.shutdown.accepts_until < second


@given(
    'requests with deadlines at seconds {first:g}, {second:g} and {third:g} '
    'that wait',
)
def give_waiting(
    context: Any, first: float, second: float, third: float
) -> None:
    pending = {
        (str(deadline), 1): PendingRequest(new_request(deadline))
        for deadline in (first, second, third)
    }
    context.coordination = SimpleNamespace(
        lock=threading.RLock(), pending=pending
    )


@when('the shutdown is at second {now:g}')
def pass_time(context: Any, now: float) -> None:
    reject_waiting(context.coordination, context.shutdown, now)


@then('no waiting request is rejected')
def check_none(context: Any) -> None:
    pending = context.coordination.pending.values()
    assert all(one.answers.empty() for one in pending)


@then('only the request with the deadline at second {deadline:g} is rejected')
def check_only(context: Any, deadline: float) -> None:
    rejected = [
        one
        for one in context.coordination.pending.values()
        if not one.answers.empty()
    ]
    assert [one.request.deadline for one in rejected] == [deadline]
    context.failure = rejected[0].answers.get()


@then('it may be retried at second {second:g} and has not run')
def check_failure(context: Any, second: float) -> None:
    assert context.failure.http_status == 503
    assert context.failure.retry_at == second
    assert context.failure.outcome is Outcome.not_run


@given('a request with {wait:g} seconds that was rejected at second {now:g}')
def give_rejected(context: Any, wait: float, now: float) -> None:
    assert is_rejected(context, 'a', wait, now)


@then('the same request with {wait:g} seconds is {decision} at second {now:g}')
def check_again(context: Any, wait: float, decision: str, now: float) -> None:
    rejected = is_rejected(context, 'a', wait, now)
    assert rejected == (decision == 'rejected')


@then('another request with {wait:g} seconds is rejected at second {now:g}')
def check_another(context: Any, wait: float, now: float) -> None:
    assert is_rejected(context, 'b', wait, now)


@when('{count:d} different requests are rejected')
def reject_many(context: Any, count: int) -> None:
    for number in range(count):
        assert is_rejected(context, str(number), 14, 100)


@then('at most {count:d} of them are remembered')
def check_remembered(context: Any, count: int) -> None:
    assert 0 < len(context.shutdown.rejected) <= count
