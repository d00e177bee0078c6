"""Steps of buffers.feature for attempts that wait for memory."""

from __future__ import annotations

from contextlib import suppress
from types import SimpleNamespace
from typing import Any

from behave import then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_relay.attempts import AttemptResult, ending_for
from gypsumrelay_relay.buffers import Kind
from gypsumrelay_relay.buffers.holds import HOLDS, AnswerHold, BodyHold, Holds

WAIT_SECONDS = 0.05


def end_lost(context: Any, hold: AnswerHold) -> None:
    exchange: Any = SimpleNamespace(
        cancellation=SimpleNamespace(cause=None),
        is_overdue=bool,
        environ={HOLDS: Holds(BodyHold(context.memory), hold)},
    )
    result = AttemptResult(Ending.lost, 'the answer broke off')
    context.ending = ending_for(exchange, result)


@when('an attempt is lost')
def lose(context: Any) -> None:
    end_lost(context, AnswerHold(context.memory))


@when('bodies and answers hold the whole budget')
def fill(context: Any) -> None:
    context.memory.change(Kind.bodies, int(context.memory.budget.limit_bytes))


@when('an attempt waits for memory and is lost')
def wait_and_lose(context: Any) -> None:
    hold = AnswerHold(context.memory)
    hold.count_ahead(1_000_000)
    # Another answer is the one that is read beyond its share.
    context.memory.may_read(object(), 1_000_000, 0)
    with suppress(TimeoutError):
        hold.wait_to_pass_on(monotonic() + WAIT_SECONDS, bool)
    end_lost(context, hold)


@then('it is reported as "{ending}"')
def check_ending(context: Any, ending: str) -> None:
    assert context.ending.value == ending, context.ending


@when('answers hold {size:d} bytes and the largest one waits')
def wait_for_half(context: Any, size: int) -> None:
    memory = context.memory
    memory.change(Kind.answers, size - memory.budget.held[Kind.answers])
    hold = AnswerHold(memory, unsent=size)
    memory.may_read(object(), size, 0)
    assert not memory.may_grow(size)
    with suppress(TimeoutError):
        hold.wait_to_pass_on(monotonic() + WAIT_SECONDS, bool)


@then('the budget does not count as exhausted')
def check_free(context: Any) -> None:
    assert not context.memory.budget.is_exhausted


@then('the budget counts as exhausted')
def check_exhausted(context: Any) -> None:
    assert context.memory.budget.is_exhausted
