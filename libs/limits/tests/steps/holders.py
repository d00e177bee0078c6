"""Steps for the holder of a share."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from gypsumrelay_configuration import Contract, Share
from gypsumrelay_limits import (
    Granted,
    Holder,
    ListRead,
    LogRead,
    Member,
    Refused,
    ReservationKey,
    Settlement,
    TokenRequest,
    add_share,
    close_charges,
    delete_expired_charges,
    drop_share,
    grant,
    renew_evidence,
    resize,
    settle,
    share_size,
    stop_granting,
)
from gypsumrelay_settings import EvidenceSettings

REQUESTER = Member('lekki-1', '1')
SIZE = share_size(Contract('a', 10, 40), 2, 0)


def key(name: str) -> ReservationKey:
    return ReservationKey(name, 'a', 0)


@given('a share that its previous holder did not release')
def start_holder(context: Any, *, released: bool = False) -> None:
    context.now = 100.0
    context.holder = Holder(EvidenceSettings(share_evidence_seconds=5))
    share = Share('a', 0, 2, 'ikeja-1', '1')
    add_share(context.holder, share, SIZE, context.now, released=released)


@given('a full share')
def start_full(context: Any) -> None:
    start_holder(context, released=True)
    context.now += 4
    renew_evidence(context.holder, LogRead(context.now), context.now)


@when('reservation "{name}" requests {tokens:d} tokens')
def request_tokens(
    context: Any,
    name: str,
    tokens: int,
    requester: Any = REQUESTER,
) -> None:
    message = TokenRequest(
        key(name), requester, tokens, tokens, context.now + 1
    )
    context.reply = grant(context.holder, message, context.now)


@when('reservation "{name}" requests {tokens:d} tokens twice')
def request_twice(context: Any, name: str, tokens: int) -> None:
    request_tokens(context, name, tokens)
    context.first = context.reply
    request_tokens(context, name, tokens)


@when('another agent requests reservation "{name}" again')
def request_from_other(context: Any, name: str) -> None:
    request_tokens(context, name, 0, Member('yaba-1', '1'))


@when('"{name}" is settled with {used:d} used')
def end(context: Any, name: str, used: int) -> None:
    settlement = Settlement(key(name), REQUESTER, used)
    settle(context.holder, settlement, context.now)


@when('"{name}" is settled with {used:d} used twice')
def end_twice(context: Any, name: str, used: int) -> None:
    end(context, name, used)
    end(context, name, used)


@when('{seconds:g} seconds pass')
def wait(context: Any, seconds: float) -> None:
    context.now += seconds


@when('{seconds:g} seconds pass with fresh evidence')
def wait_with_evidence(context: Any, seconds: float) -> None:
    wait(context, seconds)
    renew_evidence(context.holder, LogRead(context.now), context.now)


@when('a read of the log completes that started {seconds:g} seconds ago')
def read_log(context: Any, seconds: float) -> None:
    evidence = LogRead(context.now - seconds)
    renew_evidence(context.holder, evidence, context.now)


@when('the list is read and does not contain the holder')
def read_list(context: Any) -> None:
    evidence = ListRead(context.now, live=False)
    renew_evidence(context.holder, evidence, context.now)


@when('the log assigns the share to another agent')
def reassign(context: Any) -> None:
    drop_share(context.holder, Share('a', 0, 3, 'yaba-1', '1'))


@when('reservation "{name}" requests {tokens:d} tokens after its deadline')
def request_late(context: Any, name: str, tokens: int) -> None:
    message = TokenRequest(key(name), REQUESTER, tokens, tokens, context.now)
    context.reply = grant(context.holder, message, context.now)


@when('the requesting agent is gone')
def lose_requester(context: Any) -> None:
    assert close_charges(context.holder, REQUESTER) == 1


@when('the contract changes to rate {rate:d} and burst {burst:d}')
def change_contract(context: Any, rate: int, burst: int) -> None:
    resize(context.holder, Contract('a', rate, burst), 2, context.now)


@when('the holder stops granting')
def stop(context: Any) -> None:
    stop_granting(context.holder)


@when('{count:d} reservations are charged and settled')
def request_many(context: Any, count: int) -> None:
    for number in range(count):
        request_tokens(context, f'd{number}', 1)
        assert isinstance(context.reply, Granted)
        end(context, f'd{number}', 0)


@then('both times {tokens:d} tokens are granted')
def check_granted_twice(context: Any, tokens: int) -> None:
    assert context.first == context.reply == Granted(key('a'), tokens)


@then('{tokens:d} tokens are granted')
def check_granted(context: Any, tokens: int) -> None:
    assert isinstance(context.reply, Granted), context.reply
    assert context.reply.tokens == tokens


@then('it is refused as {reason:w}')
def check_refused(context: Any, reason: str) -> None:
    assert isinstance(context.reply, Refused), context.reply
    assert context.reply.reason.value == reason


@then(
    'it is refused as {reason:w} with {available:d} available '
    'in {seconds:g} seconds',
)
def check_refusal(
    context: Any,
    reason: str,
    available: int,
    seconds: float,
) -> None:
    check_refused(context, reason)
    assert context.reply.available == available
    assert context.reply.retry_at == context.now + seconds


@then('{tokens:d} tokens are left')
def check_left(context: Any, tokens: int) -> None:
    wait_with_evidence(context, 0)
    context.holder.draining = False
    request_tokens(context, 'probe', 10_000)
    assert context.reply.available == tokens, context.reply


@then('the holder has {count:d} charges')
def check_charge_count(context: Any, count: int) -> None:
    assert len(context.holder.shares['a', 0].charges) == 500
    delete_expired_charges(context.holder, context.now)
    assert len(context.holder.shares['a', 0].charges) == count
    assert (
        len(context.holder.expiries)
        == len(context.holder.keys_by_requester)
        == 0
    )
