"""Steps of refusing.feature."""

from __future__ import annotations

import queue
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import (
    Grant,
    Phase,
    PlacementRequest,
    Rejection,
    SchedulerState,
    ServiceLimits,
    Upstream,
    apply_configuration,
    apply_upstreams,
)
from gypsumrelay_errors import Failure
from gypsumrelay_relay.admission import admit, token_failure
from gypsumrelay_relay.connections import Connections
from gypsumrelay_relay.coordination.actor import Coordinator
from gypsumrelay_relay.coordination.messages import PlacementRequested
from gypsumrelay_relay.protocol import CallerHeaders
from gypsumrelay_settings import DispatchSettings
from urllib3.connection import HTTPConnection

# Larger than any floating-point number.
HUGE = 10**400


@given('a service whose upstreams have memory for {tokens:d} tokens')
def give_service(context: Any, tokens: int) -> None:
    context.service = ServiceLimits('service', memory_tokens=tokens)


@when('a request with a prompt of {tokens:d} tokens arrives')
def send_prompt(context: Any, tokens: int) -> None:
    headers = CallerHeaders('r', '', None, tokens, 100)
    context.answer = token_failure(context.service, headers)


@when('a request arrives whose target has the byte {code:d}')
def send_byte(context: Any, code: int) -> None:
    environ = {'REQUEST_URI': f'/orders{chr(code)}', 'HTTP_HOST': 'shop'}
    relay = SimpleNamespace(
        operator_records=SimpleNamespace(
            state=SimpleNamespace(configuration=SimpleNamespace(routes={})),
        ),
        protocol=SimpleNamespace(read_caller=lambda environ: None),
    )
    context.answer = admit(relay, environ, monotonic())


@when('an upstream states a time-out of {digits:d} digits')
def state_timeout(context: Any, digits: int) -> None:
    context.connections = Connections()
    stated = 'timeout=' + '9' * digits
    context.connections.put_back('10.0.0.1:80', HTTPConnection('a'), stated)


@then('its connection is in the pool')
def check_kept(context: Any) -> None:
    assert len(context.connections.idle['10.0.0.1:80']) == 1


@then('it is rejected with {status:d} and without Retry-After')
def check_refused(context: Any, status: int) -> None:
    assert isinstance(context.answer, Failure), context.answer
    assert context.answer.http_status == status, context.answer
    assert context.answer.retry_at is None, context.answer


@then('it is admitted')
def check_admitted(context: Any) -> None:
    assert context.answer is None, context.answer


@given('a coordinator with free upstreams')
def give_coordinator(context: Any) -> None:
    now = monotonic()
    scheduler = SchedulerState(DispatchSettings())
    apply_configuration(
        scheduler, [ServiceLimits('service', memory_tokens=30000)], [], now
    )
    pool = [
        Upstream('p', 'service', '10.0.0.1:80', 'a', Phase.prefill, 8, 1),
        Upstream('d', 'service', '10.0.0.2:80', 'a', Phase.decode, 8, 1),
    ]
    apply_upstreams(scheduler, pool, now)
    context.decisions = queue.SimpleQueue()
    context.coordinator = Coordinator.start(scheduler, context.decisions.put)
    context.add_cleanup(context.coordinator.stop)


def ask(context: Any, request_id: str, tokens: int) -> None:
    """Request a placement from the coordinator."""
    now = monotonic()
    request = PlacementRequest(
        request_id,
        1,
        'relay',
        'a',
        'service',
        '',
        tokens,
        0,
        now + 1,
        now + 10,
        now + 3,
        tokens,
        100,
        100,
    )
    context.coordinator.tell(PlacementRequested(request))


@when('a placement is requested with token counts too large to calculate with')
def ask_huge(context: Any) -> None:
    ask(context, 'huge', HUGE)


@when('a placement is requested for a usual request')
def ask_usual(context: Any) -> None:
    ask(context, 'usual', 3000)


@then('the first is rejected and the second gets a placement')
def check_both(context: Any) -> None:
    first = context.decisions.get(timeout=5)
    second = context.decisions.get(timeout=5)
    assert isinstance(first, Rejection), first
    assert first.request.request_id == 'huge', first
    assert isinstance(second, Grant), second
    assert second.request.request_id == 'usual', second
