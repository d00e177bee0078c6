"""Steps for requests whose processes fail."""

from __future__ import annotations

import json
import signal
import socket
import threading
from typing import Any

import urllib3
from behave import given, then, when
from gypsumrelay_clock import monotonic
from gypsumrelay_demo import (
    Relay,
    System,
    complete,
    get_json,
    post_json,
    two_zone_deployment,
    wait_until,
)

PROMPT = 'read the battery log of ' + ' '.join(f'amp{n}' for n in range(400))
ENGINES = ('prefill', 'decode')


@given('two zones with engines that need {milliseconds:d} ms for a token')
def start_two_zones(context: Any, milliseconds: int) -> None:
    deployment = two_zone_deployment(
        token_ms=milliseconds,
        cold_requests=0,
        cold_limit=20,
    )
    context.system = System(deployment, context.path)
    context.system.start()


@given('two zones with TCP proxies in front of the agents')
def start_with_proxies(context: Any) -> None:
    start_two_zones(context, 20)
    context.proxies = []
    for node in context.system.agents.values():
        host, _, port = node.listed['address'].partition(':')
        proxy = Relay((host, int(port)))
        proxy.start()
        context.proxies.append(proxy)
        node.listed['address'] = f'{host}:{proxy.port}'
        context.system.list_node(node, 'live')
    assert wait_until(lambda: all(r.pairs for r in context.proxies), 10)
    # Restarting the entries closes their first links, which bypass the proxies.
    for entry in context.system.entries.values():
        context.system.kill(entry)
        context.system.restart(entry)
    context.system.wait_until_serving()


@when('a caller streams {tokens:d} tokens')
def start_stream(context: Any, tokens: int) -> None:
    context.tokens = tokens
    context.prompt = PROMPT
    context.replies = []
    entry = next(iter(context.system.entries.values()))
    key = next(iter(context.system.keys.values())).secret
    body = {
        'model': 'model',
        'prompt': PROMPT,
        'max_tokens': tokens,
        'stream': True,
    }
    pool = urllib3.PoolManager()

    def stream() -> None:
        context.replies.append(complete(pool, entry.url, key, body))

    context.caller = threading.Thread(target=stream, daemon=True)
    context.caller.start()


@when('the {kind} of the stream is {fault} after {tokens:d} tokens')
def inject_fault(context: Any, kind: str, fault: str, tokens: int) -> None:
    name = context.system.running_decode(tokens)
    node = {
        'decode engine': context.system.upstreams[name],
        'decode agent': context.system.agents[f'agent-{name}'],
        'entry': next(iter(context.system.entries.values())),
    }[kind]
    if fault == 'killed':
        context.system.kill(node)
        context.system.restart(node)
    elif fault == 'frozen':
        node.process.signal(signal.SIGSTOP)
        context.add_cleanup(node.process.signal, signal.SIGCONT)
        context.frozen = node
    else:
        url = f'{node.url}/fault'
        assert post_json(context.system.pool, url, {'stall': True})


@when('each decode agent that serves the stream is killed, {times:d} in all')
def kill_serving_agents(context: Any, times: int) -> None:
    killed: set[str] = set()
    for _ in range(times):
        name = context.system.running_decode(10, besides=killed)
        killed.add(name)
        node = context.system.agents[f'agent-{name}']
        context.system.kill(node)
        context.system.restart(node)


@when('the open connections stop delivering data after {tokens:d} tokens')
def silence(context: Any, tokens: int) -> None:
    context.system.running_decode(tokens)
    for proxy in context.proxies:
        proxy.silence()


@then('a caller that requests {tokens:d} tokens receives them')
def check_new_request(context: Any, tokens: int) -> None:
    start_stream(context, tokens)
    context.execute_steps(
        'Then the caller receives the complete response to its prompt',
    )


@when('a caller streams {tokens:d} tokens and disconnects after {read:d}')
def stream_and_disconnect(context: Any, tokens: int, read: int) -> None:
    entry = next(iter(context.system.entries.values()))
    key = next(iter(context.system.keys.values())).secret
    pool = urllib3.PoolManager()
    body = {
        'model': 'model',
        'prompt': PROMPT,
        'max_tokens': tokens,
        'stream': True,
    }
    response = pool.request(
        'POST',
        f'{entry.url}/v1/completions',
        json=body,
        headers={'Authorization': f'Bearer {key}'},
        preload_content=False,
        retries=False,
    )
    assert response.status == 200
    chunks = response.stream(1024)
    for _ in range(read):
        next(chunks)
    response.close()


@when('a caller requests a body of {tokens:d} tokens and leaves after {ran:d}')
def request_and_disconnect(context: Any, tokens: int, ran: int) -> None:
    entry = next(iter(context.system.entries.values()))
    key = next(iter(context.system.keys.values())).secret
    body = json.dumps(
        {'model': 'model', 'prompt': PROMPT, 'max_tokens': tokens},
    ).encode()
    host, _, port = entry.url.removeprefix('http://').partition(':')
    with socket.create_connection((host, int(port))) as connection:
        head = (
            'POST /v1/completions HTTP/1.1\r\nHost: a\r\n'
            f'Authorization: Bearer {key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        connection.sendall(head.encode() + body)
        context.system.running_decode(ran)


@then('all engine memory is released within {seconds:g} seconds')
def check_memory(context: Any, seconds: float) -> None:
    if getattr(context, 'frozen', None) is not None:
        context.frozen.process.signal(signal.SIGCONT)
    context.held = {}

    def is_free() -> bool:
        context.held = {
            name: (get_json(context.system.pool, f'{node.url}/record') or {})
            for name, node in context.system.upstreams.items()
            if name.split('-')[0] in ENGINES
        }
        return not any(
            record.get('held_pieces', 1) for record in context.held.values()
        )

    started = monotonic()
    assert wait_until(is_free, seconds), context.held
    print(f'engine memory released after {monotonic() - started:.2f} s')
