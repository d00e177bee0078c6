"""Steps for rate limits and for requests that run at most once."""

from __future__ import annotations

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import urllib3
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_demo import (
    System,
    call,
    complete,
    get_json,
    two_zone_deployment,
    wait_until,
)

PROMPT_WORDS = 200
OUTPUT_TOKENS = 100


@given(
    'two zones with a contract of {rate:d} tokens a second and {burst:d} burst',
)
def start_limited(context: Any, rate: int, burst: int) -> None:
    deployment = two_zone_deployment(
        token_ms=1,
        cold_requests=0,
        cold_limit=20,
    )
    contract = attrs.evolve(
        deployment.contracts[0],
        tokens_per_second=rate,
        burst_tokens=burst,
    )
    context.rate = rate
    context.burst = burst
    deployment = attrs.evolve(deployment, contracts=(contract,))
    context.system = System(deployment, context.path)
    context.system.start()


@when('{callers:d} callers send 300-token requests for {seconds:d} seconds')
def send_load(context: Any, callers: int, seconds: int) -> None:
    context.tokens = 0
    lock = threading.Lock()
    context.started = monotonic()
    until = context.started + seconds
    key = next(iter(context.system.keys.values())).secret
    entries = [entry.url for entry in context.system.entries.values()]
    pool = urllib3.PoolManager(maxsize=callers)

    def send(number: int) -> None:
        sent = 0
        while monotonic() < until:
            words = ' '.join(f'w{number}x{sent}' for _ in range(PROMPT_WORDS))
            body = {
                'model': 'model',
                'prompt': words,
                'max_tokens': OUTPUT_TOKENS,
                'stream': True,
            }
            url = entries[(number + sent) % len(entries)]
            reply = complete(pool, url, key, body)
            sent += 1
            ran = len(reply.text.split())
            with lock:
                context.tokens += PROMPT_WORDS + ran if ran else 0
            if not ran:
                time.sleep(0.02)

    context.executor = ThreadPoolExecutor(callers)
    context.senders = [
        context.executor.submit(send, number) for number in range(callers)
    ]


@when('a holder of shares is killed after {seconds:d} seconds')
def kill_holder(context: Any, seconds: int) -> None:
    wait(seconds)
    holder = next(iter(holders(context)))
    context.system.kill(holder)
    wait(1)
    context.system.restart(holder)


@when('a holder of shares is paused from {begin:d} to {end:d} seconds')
def pause_holder(context: Any, begin: int, end: int) -> None:
    wait(begin)
    holder = next(iter(holders(context)))
    holder.process.signal(signal.SIGSTOP)
    wait(end - begin)
    holder.process.signal(signal.SIGCONT)


def wait(seconds: float) -> None:
    due = monotonic() + seconds
    wait_until(lambda: monotonic() >= due, seconds + 1)


def holders(context: Any) -> list[Any]:
    found = []
    for agent in context.system.agents.values():
        status = get_json(context.system.pool, f'{agent.admin_url}/status')
        if status and status['shares_held']:
            found.append(agent)
    return found


@then('the tokens processed do not exceed the rate and the burst')
def check_token_limit(context: Any) -> None:
    for sender in context.senders:
        sender.result(60)
    context.elapsed = monotonic() - context.started
    allowed = context.rate * context.elapsed + context.burst
    print(f'{context.tokens} tokens processed, {allowed:.0f} allowed')
    assert context.tokens <= allowed
    assert context.tokens > 0


@then('they reach at least {percent:d} percent of the rate')
def check_utilization(context: Any, percent: int) -> None:
    wanted = context.rate * context.elapsed * percent / 100
    assert context.tokens >= wanted, (context.tokens, wanted)


@then('both shares are held by running agents within {seconds:d} seconds')
def check_holders(context: Any, seconds: int) -> None:
    def held() -> int:
        counts = (
            get_json(context.system.pool, f'{agent.admin_url}/status')
            for agent in context.system.agents.values()
        )
        return sum(status['shares_held'] for status in counts if status)

    assert wait_until(lambda: held() == 2, seconds), held()


@given('two zones with slow services')
def start_slow_services(context: Any) -> None:
    deployment = attrs.evolve(
        two_zone_deployment(),
        service={'work_ms': 4000},
    )
    context.system = System(deployment, context.path)
    context.system.start()


@when('a caller posts an order with the marker "{marker}"')
def post_marked(context: Any, marker: str) -> None:
    context.marker = marker
    entry = next(iter(context.system.entries.values()))
    key = next(iter(context.system.keys.values())).secret
    context.posted = ThreadPoolExecutor(1).submit(
        call,
        urllib3.PoolManager(),
        f'{entry.url}/orders/{marker}',
        'POST',
        {'Authorization': f'Bearer {key}'},
        b'order',
    )


@when('the service that runs it is killed')
def kill_service(context: Any) -> None:
    assert wait_until(lambda: bool(services_that_ran(context)), 10)
    context.killed = services_that_ran(context)[0]
    node = context.system.upstreams[context.killed]
    node.process.kill()


@then('the response has the outcome "{outcome}"')
def check_outcome(context: Any, outcome: str) -> None:
    reply = context.posted.result(20)
    assert reply.outcome == outcome, reply


@then('no service runs that order again')
def check_no_retry(context: Any) -> None:
    wait(2)
    ran_at = services_that_ran(context)
    assert ran_at in ([], [context.killed]), ran_at


def services_that_ran(context: Any) -> list[str]:
    return [
        name
        for name in context.system.upstreams
        if name.startswith('service') and has_run_marked(context, name)
    ]


def has_run_marked(context: Any, name: str) -> bool:
    runs = context.system.runs_at(name)
    return any(context.marker in run['path'] for run in runs)
