"""Steps for requests that crash the upstreams that run them."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3
from behave import then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_demo import complete
from gypsumrelay_standins import expected_text

RETRIED_CODES = ('overloaded', 'no_upstream', 'deadline_unreachable')
CRASHING_PROMPT = 'please crash-upstream now ' + ' '.join(
    f'x{n}' for n in range(300)
)


@when('{count:d} healthy callers stream {tokens:d} tokens each')
def stream_healthy(context: Any, count: int, tokens: int) -> None:
    context.crashes = 0
    context.stop_restarts = threading.Event()
    context.restart_thread = threading.Thread(
        target=restart_crashed,
        args=(context,),
        daemon=True,
    )
    context.restart_thread.start()
    entries = list(context.system.entries.values())
    key = next(iter(context.system.keys.values())).secret
    pool = urllib3.PoolManager(maxsize=count)

    def stream(number: int) -> tuple[str, Any]:
        words = ' '.join(f'h{number}n{n}' for n in range(300))
        body = {
            'model': 'model',
            'prompt': words,
            'max_tokens': tokens,
            'stream': True,
        }
        reply = send_with_retries(pool, entries[number % 2].url, key, body)
        return expected_text(words, tokens), reply

    callers = ThreadPoolExecutor(count)
    context.healthy = [
        callers.submit(stream, number) for number in range(count)
    ]


def send_with_retries(
    pool: urllib3.PoolManager,
    url: str,
    key: str,
    body: dict[str, Any],
    context: Any = None,
) -> Any:
    """Retry a request while it is rejected for lack of capacity."""
    deadline = monotonic() + 30
    while True:
        before = context.crashes if context else 0
        reply = complete(pool, url, key, body)
        if context:
            # The restart thread polls for crashed engines every 0.2 s.
            time.sleep(0.5)
        if context and reply.outcome == 'not_run':
            assert context.crashes == before, 'not_run after a crash'
        if reply.code not in RETRIED_CODES or monotonic() > deadline:
            return reply
        time.sleep(0.2)


def restart_crashed(context: Any) -> None:
    """Restart crashed engines, as the platform does."""
    while not context.stop_restarts.wait(0.2):
        for name, node in context.system.upstreams.items():
            if not name.startswith('service') and not (
                node.process.is_running()
            ):
                context.crashes += 1
                node.process.start()


@when('a caller sends a request that crashes engines')
def send_crashing(context: Any) -> None:
    context.crash_replies = []
    send_crashing_request(context, 0)


def send_crashing_request(context: Any, number: int) -> None:
    entries = list(context.system.entries.values())
    key = next(iter(context.system.keys.values())).secret
    body = {'model': 'model', 'prompt': CRASHING_PROMPT, 'max_tokens': 5}
    url = entries[number % len(entries)].url
    reply = send_with_retries(urllib3.PoolManager(), url, key, body, context)
    print(number, reply.code, reply.outcome, context.crashes)
    context.crash_replies.append(reply)


@when('the caller retries it {count:d} times through all entries')
def send_again(context: Any, count: int) -> None:
    for number in range(1, count + 1):
        send_crashing_request(context, number)


@then('the engines crashed at most twice')
def check_crashes(context: Any) -> None:
    time.sleep(0.5)
    context.stop_restarts.set()
    context.restart_thread.join()
    assert 1 <= context.crashes <= 2, context.crashes


@then('the last request is rejected with code "{code}"')
def check_last(context: Any, code: str) -> None:
    assert context.crash_replies[-1].code == code, context.crash_replies


@then('every healthy caller received its complete response')
def check_healthy(context: Any) -> None:
    for future in context.healthy:
        expected, reply = future.result(60)
        assert reply.text == expected, reply
