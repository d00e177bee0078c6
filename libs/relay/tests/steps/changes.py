"""Steps of membership.feature: how a relay switches coordinators."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import (
    PlacementRequest,
    SchedulerState,
    restore_retries,
)
from gypsumrelay_errors import Overloaded, PlatformUnavailable
from gypsumrelay_relay.coordination import actor as coordinator_module
from gypsumrelay_relay.coordination import links as module
from gypsumrelay_relay.coordination.actor import Coordinator
from gypsumrelay_relay.coordination.client import Coordination
from gypsumrelay_relay.coordination.messages import (
    ChargesReported,
    GetFigures,
    RateLimitReported,
    RetriesReported,
    SendsReported,
)
from gypsumrelay_relay.membership import (
    UNRANKED,
    Member,
    Members,
    record_heartbeat,
)
from gypsumrelay_relay.operator_records import OperatorRecords
from gypsumrelay_relay.placement import Placement
from gypsumrelay_relay.process import update_staleness
from gypsumrelay_relay.registration import give_up_rank, register_again
from gypsumrelay_relay.topics import RecordReader
from gypsumrelay_relay.usage_history import (
    UsageHistory,
    Use,
    record_use,
    retries_by_service,
    sends_by_upstream,
    tokens_by_account,
    transfer_uses,
)
from gypsumrelay_settings import DispatchSettings
from gypsumrelay_wire import (
    ContentQuarantined,
    Heartbeat,
    Identity,
    LimitStated,
    PlaceGranted,
    PlaceHeld,
    PlaceRefused,
    PlaceRequest,
)

# Instant of the grants in a history of use.
USED_AT = 100.0


@given('a relay that gave up its rank')
def give_unranked(context: Any) -> None:
    members = Members(Member('own', 'a', '10.0.0.1', UNRANKED))
    answers = [Overloaded('busy'), 7]
    store = SimpleNamespace(append=lambda *_: answers.pop(0))
    context.members = members
    context.process = SimpleNamespace(
        stopped=threading.Event(),
        adapter=SimpleNamespace(store=store),
        heartbeats=SimpleNamespace(send_round=lambda now: None),
        relay=SimpleNamespace(
            coordination=SimpleNamespace(
                members=members,
                lock=threading.RLock(),
            ),
        ),
    )


@given('a relay with the first rank whose process was suspended')
def give_suspended(context: Any) -> None:
    give_unranked(context)
    context.members.own = Member('own', 'a', '10.0.0.1', 1)
    context.sent = []
    context.process.heartbeats.send_round = lambda now: context.sent.append(
        context.members.own.seniority,
    )


@given('a relay with the first rank whose list was stale')
def give_stale(context: Any) -> None:
    give_suspended(context)
    members = context.members
    members.own = Member('own', 'a', '10.0.0.1', 1, is_stale=True)
    record_heartbeat(members, Member('other', 'a', '10.0.0.2', 2), monotonic())
    context.process.relay.coordination.leader = 'other'
    context.process.heartbeats.send_round = lambda now: context.sent.append(
        (members.own.is_stale, members.own.seniority),
    )


@when('it can read the list again while another one coordinates')
def read_again(context: Any) -> None:
    context.process.checked_at = monotonic()
    context.process.follower = SimpleNamespace(is_stale=lambda *_: False)
    update_staleness(context.process)


@then('none of its heartbeats has a fresh list and the first rank')
def check_claims(context: Any) -> None:
    assert len(context.sent) > 1
    assert (False, 1) not in context.sent, context.sent


@when('it detects the suspension')
def detect_suspension(context: Any) -> None:
    give_up_rank(context.process)


@then('the first heartbeat that it sends has no seniority')
def check_no_rank(context: Any) -> None:
    assert context.sent[0] == UNRANKED, context.sent


@when('the store rejects its first registration')
def refuse_first(context: Any) -> None:
    register_again(context.process)


@then('it has a rank within {seconds:d} seconds')
def check_ranked(context: Any, seconds: int) -> None:
    deadline = monotonic() + seconds
    while context.members.own.seniority == UNRANKED:
        assert monotonic() < deadline
        time.sleep(0.01)
    assert context.members.own.seniority == 7


@given('a relay that got {count:d} retries from an earlier coordinator')
def give_repeats(context: Any, count: int) -> None:
    reader = RecordReader(
        lambda records: PlatformUnavailable('no configuration'),
        lambda records: frozenset(),
        lambda name, record: None,
    )
    members = Members(Member('own', 'a', '10.0.0.1', 1))
    coordination = Coordination('own', members, OperatorRecords(reader), 1)
    coordination.actor = SimpleNamespace(tell=lambda message: None)
    context.coordination = coordination
    context.now = monotonic()
    add_grants(context, 'gone/a', count, 0)


def add_grants(context: Any, name: str, count: int, age: float) -> None:
    at = context.now - age
    context.coordination.uses.uses.extend(
        Use(at, (), '', 0, 'service', 1, 0, frozenset((name,)))
        for _ in range(count)
    )


@given('it got {count:d} retries before the window')
def give_old(context: Any, count: int) -> None:
    window = context.coordination.settings.repeat_window_seconds
    at = context.now - window - 1
    given = Use(at, (), '', 0, 'service', count, 0, frozenset(('gone/a',)))
    context.coordination.uses.uses.appendleft(given)


@when('it becomes the coordinator and was itself granted {count:d} retries')
def coordinate_itself(context: Any, count: int) -> None:
    add_grants(context, 'own/a', count, 0)
    context.messages = []
    context.coordination.actor.tell = context.messages.append
    context.coordination.switch_coordinator()


@when('that coordinator restarts and coordinates again')
def restart_coordinator(context: Any) -> None:
    uses = transfer_uses(context.coordination.uses, 'gone/b')
    settings = context.coordination.settings
    context.reports = retries_by_service(uses, settings, context.now)


@then('it is told of {count:d} retries')
def check_reports(context: Any, count: int) -> None:
    assert [report.count for report in context.reports] == [count]


@when('it chooses itself once more')
def coordinate_again(context: Any) -> None:
    context.coordination.leader = ''
    context.coordination.switch_coordinator()


@then('the new coordinator counts {count:d} retries')
def check_counted(context: Any, count: int) -> None:
    scheduler = SchedulerState(DispatchSettings())
    now = monotonic()
    for message in context.messages:
        if isinstance(message, RetriesReported):
            restore_retries(
                scheduler,
                message.service,
                message.count,
                message.total,
                now,
            )
    assert len(scheduler.retry_budget('service').retries) == count


def new_request(request_id: str) -> PlacementRequest:
    """Return a placement request of a plain request."""
    now = monotonic()
    return PlacementRequest(
        request_id=request_id,
        attempt=1,
        entry='own',
        availability_zone='zone',
        service='service',
        client_account='',
        cost_tokens=0,
        priority=1,
        objective_at=now + 1,
        deadline=now + 9,
        wait_until=now + 3,
    )


@given('a relay that has a placement and waits for another')
def give_place(context: Any) -> None:
    reader = RecordReader(
        lambda records: PlatformUnavailable('no configuration'),
        lambda records: frozenset(),
        lambda name, record: None,
    )
    members = Members(Member('own', 'a', '10.0.0.1', 9))
    coordination = Coordination('own', members, OperatorRecords(reader), 1)
    coordination.actor = SimpleNamespace(tell=lambda message: None)
    granted_placement = Placement(new_request('placed'), 'up', '10.0.0.9:80')
    coordination.active[granted_placement.request.key] = granted_placement
    coordination.request_placement(new_request('waiting'))
    context.coordination = coordination


@when('it switches to a coordinator on another relay')
def switch_to_other(context: Any) -> None:
    coordination = context.coordination
    coordination.endpoint = None
    context.sent = []
    link = SimpleNamespace(send=context.sent.append, start=lambda: None)
    usual = module.dial
    module.dial = lambda *_: link
    context.add_cleanup(setattr, module, 'dial', usual)
    record_heartbeat(
        coordination.members, Member('first', 'a', '10.0.0.2', 1), monotonic()
    )
    coordination.switch_coordinator()


@then('it reports its placement, then the end of its report, and then requests')
def check_order(context: Any) -> None:
    kinds = [type(message) for message in context.sent]
    assert kinds == [PlaceHeld, Heartbeat, PlaceRequest], context.sent
    assert context.sent[1].places_told == 1


@given(
    'a relay that was granted {count:d} placements of {tokens:d} tokens by one '
    'coordinator',
)
def give_uses(context: Any, count: int, tokens: int) -> None:
    context.uses = UsageHistory()
    for number in range(count):
        request = attrs.evolve(
            new_request(f'r{number}'),
            client_account='account',
            cost_tokens=tokens,
        )
        placement = Placement(request, 'up', '10.0.0.9:80')
        record_use(context.uses, placement, 'first/a', USED_AT)


@when('it switches to a second coordinator, to a third and back to the second')
def switch_in_turn(context: Any) -> None:
    context.told = [
        transfer_uses(context.uses, name)
        for name in ('second/a', 'third/a', 'second/a')
    ]


@then(
    'the second and the third learned of {count:d} sends and {tokens:d} tokens '
    'once each',
)
def check_told(context: Any, count: int, tokens: int) -> None:
    assert not context.told.pop()
    for uses in context.told:
        sends = sends_by_upstream(uses, USED_AT + 0.5)
        assert sends == {'up': (USED_AT,) * count}
        charges = tokens_by_account(uses)['account']
        assert list(charges.values()) == [tokens]
        assert min(charges) >= USED_AT


@then('a restarted second one learns of them again')
def check_told_again(context: Any) -> None:
    assert transfer_uses(context.uses, 'second/b')


@given('its content "{content}" was rejected for the crashes that it caused')
def give_rejected(context: Any, content: str) -> None:
    coordination = context.coordination
    request = attrs.evolve(new_request('r'), digest=content.encode())
    pending = coordination.request_placement(request)
    coordination.link = silent_link('earlier')
    coordination.link.close = lambda reason: None
    coordination.link.closed = threading.Event()
    refused = PlaceRefused('r', 1, 'request_quarantined', 'crashes', 0)
    coordination.on_message(coordination.link, refused)
    assert pending.answers.get(timeout=1).code == 'request_quarantined'


@then('it reports the content "{content}" before it requests')
def check_content(context: Any, content: str) -> None:
    kinds = [type(message) for message in context.sent]
    reported = context.sent[kinds.index(ContentQuarantined)]
    assert reported.digest == content.encode()
    assert kinds.index(ContentQuarantined) < kinds.index(PlaceRequest)


@when('a coordinator gets reports of sends, charges, retries and limits')
def send_reports(context: Any) -> None:
    scheduler = SchedulerState(DispatchSettings())
    actor = Coordinator.start(scheduler, lambda decision: None)
    context.add_cleanup(actor.stop)
    usual = coordinator_module.dispatch.tick
    context.passes = []
    coordinator_module.dispatch.tick = lambda *given: context.passes.append(
        given
    )
    context.add_cleanup(setattr, coordinator_module.dispatch, 'tick', usual)
    for message in (
        SendsReported('up', (1.0,)),
        ChargesReported('account', {}),
        RetriesReported('service', 1, 1),
        RateLimitReported('up', 2, is_new=False),
    ):
        actor.tell(message)
    context.figures = actor.ask(GetFigures())


@then('it made no pass over its queue')
def check_no_pass(context: Any) -> None:
    assert context.figures['rate_limits'] == {'up': 2}
    assert not context.passes


@given('it got a grant that names a limit of {limit:g} for its upstream')
def give_limit(context: Any, limit: float) -> None:
    coordination = context.coordination
    coordination.link = silent_link('earlier')
    pending = coordination.request_placement(new_request('limited'))
    granted = PlaceGranted(
        request_id='limited',
        attempt=1,
        upstream='up',
        address='10.0.0.9:80',
        prefill='',
        prefill_address='',
        load=0,
        waited_ms=0,
        rate_limit=round(limit * 1000),
    )
    coordination.on_message(coordination.link, granted)
    assert pending.answers.get(timeout=1).rate_limits == {'up': limit}
    coordination.link.close = lambda reason: None
    coordination.link.closed = threading.Event()


@then('it states this limit first')
def check_limit_first(context: Any) -> None:
    assert context.sent[0] == LimitStated('up', 2500, is_new=False)
    kinds = [type(message) for message in context.sent]
    assert PlaceRequest in kinds[1:], kinds


def silent_link(name: str) -> Any:
    """Return a link that accepts messages and sends none."""
    peer = Identity(name, 'a', 'relay')
    return SimpleNamespace(send=lambda message: None, peer=peer)


@given('a relay that has switched from one coordinator to another')
def give_switched(context: Any) -> None:
    reader = RecordReader(
        lambda records: PlatformUnavailable('no configuration'),
        lambda records: frozenset(),
        lambda name, record: None,
    )
    members = Members(Member('own', 'a', '10.0.0.1', 1))
    coordination = Coordination('own', members, OperatorRecords(reader), 1)
    context.earlier = silent_link('earlier')
    context.present = silent_link('present')
    coordination.link = context.present
    request = new_request('r')
    context.coordination = coordination
    context.waiting = coordination.request_placement(request)


@when('the {which} one grants a placement')
def answer_place(context: Any, which: str) -> None:
    granted = PlaceGranted('r', 1, 'up', '10.0.0.9:80', '', '', 0, 0)
    context.coordination.on_message(getattr(context, which), granted)


@then('the relay still waits for its placement')
def check_waiting(context: Any) -> None:
    assert context.waiting.answers.empty()
    assert not context.coordination.active


@then('the relay has its placement')
def check_placed(context: Any) -> None:
    assert context.waiting.answers.get(timeout=1).upstream == 'up'
