"""Steps of endless_answers.feature."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from behave import given, then
from gypsumrelay_agent.connections import new_pool
from gypsumrelay_agent.engine import EngineClient, UpstreamFault
from gypsumrelay_agent.service import ServiceClient
from gypsumrelay_clock import monotonic
from gypsumrelay_standins import FaultyService

TIMEOUT_SECONDS = 10
# Bytes in the buffers of the kernel, which the agent has not read.
BUFFERED_BYTES = 8_000_000
BYTES_PER_MEGABYTE = 1_000_000


@given('an endless upstream that sends {answer}')
def start_service(context: Any, answer: str) -> None:
    context.service = FaultyService(fault=f'endless: {answer}')
    context.service.start()
    context.add_cleanup(context.service.stop)


@then(
    "a plain service's answer is a fault that is no crash, of {most:d} "
    'megabytes at most'
)
def check_service(context: Any, most: int) -> None:
    client = ServiceClient(context.service.url, new_pool(1))

    def call() -> Any:
        last = None
        deadline = monotonic() + TIMEOUT_SECONDS
        for part in client.call('POST', '/', [], b'', deadline):
            last = part
        return last

    check_bounded(context, call, most)


@then('a prefill is a fault that is no crash, of {most:d} megabytes at most')
def check_prefill(context: Any, most: int) -> None:
    client = EngineClient(context.service.url, new_pool(1))
    check_bounded(
        context, lambda: client.prefill('run', '', TIMEOUT_SECONDS), most
    )


@then('a decode is a fault that is no crash, of {most:d} megabytes at most')
def check_decode(context: Any, most: int) -> None:
    client = EngineClient(context.service.url, new_pool(1))
    check_bounded(
        context, lambda: list(client.decode('run', 0, 10, 0))[-1], most
    )


def check_bounded(context: Any, call: Callable[[], Any], most: int) -> None:
    """Check how a call ends, what was sent to it and what it kept."""
    context.service.sent_bytes = 0
    tracemalloc.start()
    ended = call()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(ended, UpstreamFault), ended
    assert ended.reached and not ended.crashed, ended
    most_bytes = most * BYTES_PER_MEGABYTE
    # The service notices the end of the connection within its next writes.
    time.sleep(0.05)
    sent = context.service.sent_bytes
    assert sent <= most_bytes + BUFFERED_BYTES, sent
    assert peak <= 2 * most_bytes + BYTES_PER_MEGABYTE, peak
