"""Steps of probe_pages.feature."""

from __future__ import annotations

import socket
import time
from http.client import HTTPConnection
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from gypsumrelay_relay.caller_server import serve_probes

HOST = '127.0.0.1'
WAIT_SECONDS = 10.0


def free_port() -> int:
    with socket.create_server((HOST, 0)) as sock:
        return int(sock.getsockname()[1])


def ask(context: Any, port: int, path: str, seconds: float) -> HTTPConnection:
    link = HTTPConnection(HOST, port, timeout=seconds)
    context.add_cleanup(link.close)
    link.request('GET', path)
    return link


@given('a relay whose explanation takes {seconds:d} seconds')
def give_relay(context: Any, seconds: int) -> None:
    def explain(_: str) -> bytes:
        time.sleep(seconds)
        return b'explained'

    context.ready_port = free_port()
    context.metrics_port = free_port()
    instance = SimpleNamespace(
        ready_address=f'{HOST}:{context.ready_port}',
        host=HOST,
        metrics_port=context.metrics_port,
    )
    relay: Any = SimpleNamespace(settings=SimpleNamespace(instance=instance))
    serve_probes(relay, lambda: True, lambda: b'{}', explain)


@when('an explanation is requested on the port of the readiness probe')
def request_explanation(context: Any) -> None:
    ask(context, context.ready_port, '/explain', WAIT_SECONDS)


@then('the probe is answered within {seconds:d} second')
def check_probe(context: Any, seconds: int) -> None:
    link = ask(context, context.ready_port, '/api/readyz', seconds)
    assert link.getresponse().read() == b'ready\n'


@then('the metrics port gives the explanation')
def check_explanation(context: Any) -> None:
    link = ask(context, context.metrics_port, '/explain', WAIT_SECONDS)
    assert link.getresponse().read() == b'explained'
