"""Steps of broken_answers.feature."""

from __future__ import annotations

import json
import re
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from typing import Any

import attrs
from behave import given, then, when
from gypsumrelay_agent.connections import new_pool
from gypsumrelay_agent.engine import EngineClient, UpstreamFault
from gypsumrelay_agent.events import RunEnded
from gypsumrelay_agent.probes import start_probe
from gypsumrelay_agent.runs import Run, run_decode, run_prefill
from gypsumrelay_agent.service import ResponseStart, ServiceClient
from gypsumrelay_clock import monotonic
from gypsumrelay_standins import GROUPS, FaultyService
from gypsumrelay_upstreams import EngineReport, Key
from gypsumrelay_wire import Decode, Message, Prefill, encode

TIMEOUT_SECONDS = 20
WHOLE = [200, b'whole']
# A whole stream of an engine, which is also the answer to a prefill.
ENGINE_FIELDS = {
    'index': 0,
    'tokens': '',
    'finished': True,
    'handle': 'handle',
    'prompt_tokens': 1,
    'cached_tokens': 0,
}
ENGINE_ANSWER = json.dumps(ENGINE_FIELDS).encode() + b'\n'
PROBE_ANSWER = (
    '{"held": [], "held_pieces": HELD, "cold": false, "incarnation": "first", '
    '"events": [{"number": NUMBER, "kind": "stored", "prefix": "ab"}]}'
)
NESTED_ARRAYS = 100_000


def with_texts(text: str | None) -> bytes:
    texts = {'tokens': text, 'handle': text, 'finished': False}
    return json.dumps(ENGINE_FIELDS | texts).encode()


# Answers to a prefill and lines of a stream, by what is wrong with them.
UNUSABLE_JSON = {
    'no fields': b'{}',
    'an array': b'[1]',
    'nested arrays': b'[' * NESTED_ARRAYS + b']' * NESTED_ARRAYS,
    'numbers that are infinite': ENGINE_ANSWER.replace(b'0', b'1e999'),
    'numbers that are huge': ENGINE_ANSWER.replace(b'0', b'9' * 30),
    'numbers below zero': ENGINE_ANSWER.replace(b'0', b'-1'),
    'numbers with a fraction': ENGINE_ANSWER.replace(b'0', b'0.5'),
    'numbers of too many digits': ENGINE_ANSWER.replace(b'0', b'9' * 5000),
    'texts that are no numbers': ENGINE_ANSWER.replace(b'0', b'"none"'),
    'texts with half a character': with_texts('\ud800'),
    'texts that are null': with_texts(None),
}
RUNS = {
    'prefill': (run_prefill, Prefill('run', 1, 'model', 'prompt', 1000)),
    'decode': (run_decode, Decode('run', 1, 'handle', '', 0, 10, 0, 1000)),
}


def start_service(context: Any) -> FaultyService:
    service = FaultyService()
    service.start()
    context.add_cleanup(service.stop)
    context.faulty = service
    context.faults = []
    return service


@given("a faulty upstream and the agent's client of plain services")
def start_plain(context: Any) -> None:
    url = start_service(context).url
    # One connection, which is kept between requests.
    context.client = ServiceClient(url, new_pool(1))


@given("a faulty upstream and the agent's client of engines")
def start_engine(context: Any) -> None:
    context.client = EngineClient(start_service(context).url, new_pool(1))


@when('it answers with the fault "{fault}", framed by {framing}')
def set_fault(context: Any, fault: str, framing: str) -> None:
    context.fault = fault
    context.faulty.framing = framing


class CachedEngine(EngineClient):
    """An engine that has the KV cache of each prompt."""

    def fetch_cache(self, *_: object) -> dict[str, Any]:
        """Report an import without asking the engine."""
        return {}


@attrs.frozen
class PackedLink:
    """Keeps the messages that a run sends, packed as for the network."""

    frames: list[bytes] = attrs.field(factory=list)

    def send(self, message: Message) -> None:
        """Pack a message and keep it."""
        self.frames.append(encode(message))


@when('it answers {kind} runs with each kind of unusable JSON')
def answer_runs(context: Any, kind: str) -> None:
    client = CachedEngine(context.client.url, context.client.pool)
    start, message = RUNS[kind]
    context.ends = {}
    context.links = {}
    with ThreadPoolExecutor(1) as pool:
        for name, content in UNUSABLE_JSON.items():
            context.faulty.whole = content + b'\n'
            link = PackedLink()
            run = Run(Key('run', 1), 'run', link, message)
            ended: list[object] = []
            crash = pool.submit(start, run, client, ended.append).exception()
            context.links[name] = link
            context.ends[name] = crash or ended[-1]


@then('each run sends nothing and ends with a fault, not with a crash')
def check_runs(context: Any) -> None:
    wrong = {
        name: end
        for name, end in context.ends.items()
        if not has_failed(end) or context.links[name].frames
    }
    assert not wrong, wrong


def has_failed(end: object) -> bool:
    is_end = isinstance(end, RunEnded) and end.fault is not None
    return is_end and not end.fault.crashed


@when('it answers a probe with "{number}" in the {part}')
def answer_probe(context: Any, number: str, part: str) -> None:
    numbers = {'state': 0, 'cache events': 0} | {part: number}
    context.faulty.whole = (
        PROBE_ANSWER.replace('HELD', str(numbers['state']))
        .replace('NUMBER', str(numbers['cache events']))
        .encode()
    )
    posted: list[Any] = []
    with ThreadPoolExecutor(1) as pool:
        start_probe(
            SimpleNamespace(
                executor=pool,
                is_service=False,
                engine=context.client,
                hints=SimpleNamespace(incarnation='', next_number=0),
                post_event=posted.append,
            )
        )
    context.posted = posted


@then('the probe ends with a fault')
def check_probe_fault(context: Any) -> None:
    assert len(context.posted) == 1, context.posted
    end = context.posted[0]
    assert isinstance(end.report, UpstreamFault), end


@then('the probe ends with no cache events')
def check_no_events(context: Any) -> None:
    assert len(context.posted) == 1, context.posted
    end = context.posted[0]
    assert isinstance(end.report, EngineReport), end
    assert not end.cache_events, end


def call(context: Any, size: int, fault: str) -> list[Any]:
    """Return the status and body of an answer, with the fault that ended it."""
    context.faulty.fault = fault
    deadline = monotonic() + TIMEOUT_SECONDS
    parts = list(
        context.client.call('POST', '/orders', [], b'x' * size, deadline)
    )
    status = [part.status for part in parts if isinstance(part, ResponseStart)]
    body = b''.join(part for part in parts if isinstance(part, bytes))
    faults = [part for part in parts if isinstance(part, UpstreamFault)]
    return [*status, body, *faults]


def call_once(context: Any, name: str) -> list[Any]:
    """Call on a new connection, as that of each odd answer is closed."""
    context.client.pool.clear()
    return call(context, 100, f'odd: {name}')


def sizes_in(text: str) -> list[int]:
    return [int(size) for size in re.findall(r'\d+', text)]


@then('bodies of {sizes} bytes get no whole answer on new connections')
def check_new(context: Any, sizes: str) -> None:
    for size in sizes_in(sizes):
        context.client.pool.clear()
        answer = call(context, size, context.fault)
        assert isinstance(answer[-1], UpstreamFault), (size, answer)
        context.faults.append(answer[-1])


@then('bodies of {sizes} bytes get no whole answer on kept connections')
def check_kept(context: Any, sizes: str) -> None:
    for size in sizes_in(sizes):
        assert call(context, 100, '') == WHOLE
        known = context.faulty.connections
        answer = call(context, size, context.fault)
        assert context.faulty.connections == known, 'not a kept connection'
        assert isinstance(answer[-1], UpstreamFault), (size, answer)
        context.faults.append(answer[-1])


@then('requests after the fault get whole answers on new connections')
def check_next(context: Any) -> None:
    known = context.faulty.connections
    assert call(context, 100, '') == WHOLE
    assert context.faulty.connections == known + 1


@then('no fault is taken for a crash of the upstream')
def check_no_crash(context: Any) -> None:
    assert context.faults
    for fault in context.faults:
        assert fault.reached and not fault.crashed, fault


@then('prompts of {sizes} bytes get no answer of the engine')
def check_engine(context: Any, sizes: str) -> None:
    for size in sizes_in(sizes):
        context.faulty.fault = context.fault
        prompt = 'x' * size
        computed = context.client.prefill('run', prompt, TIMEOUT_SECONDS)
        assert isinstance(computed, UpstreamFault), (size, computed)
        batches = list(context.client.decode(prompt, 0, 10, 0))
        assert len(batches) == 1, (size, batches)
        assert isinstance(batches[0], UpstreamFault), (size, batches)


@then('none of the {group} gives a whole answer')
def check_malformed(context: Any, group: str) -> None:
    whole = []
    for name in GROUPS[group]:
        answer = call_once(context, name)
        if isinstance(answer[-1], UpstreamFault):
            context.faults.append(answer[-1])
        else:
            whole.append(name)
    assert not whole, whole


@then('each of the {group} gives a whole answer')
def check_sound(context: Any, group: str) -> None:
    for name in GROUPS[group]:
        assert call_once(context, name) == WHOLE, name


@then('none of the {group} gives the result of a prefill')
def check_malformed_prefill(context: Any, group: str) -> None:
    context.faulty.whole = ENGINE_ANSWER
    whole = []
    for name in GROUPS[group]:
        context.faulty.fault = f'odd: {name}'
        computed = context.client.prefill('run', '', TIMEOUT_SECONDS)
        if not isinstance(computed, UpstreamFault):
            whole.append((name, computed))
    assert not whole, whole


@then('none of the {group} gives an answer of the engine')
def check_malformed_engine(context: Any, group: str) -> None:
    context.faulty.whole = ENGINE_ANSWER
    whole = []
    for name in GROUPS[group]:
        context.faulty.fault = f'odd: {name}'
        computed = context.client.prefill('run', '', TIMEOUT_SECONDS)
        batches = list(context.client.decode('run', 0, 10, 0))
        if not isinstance(computed, UpstreamFault):
            whole.append((name, computed))
        if not isinstance(batches[-1], UpstreamFault):
            whole.append((name, batches))
    assert not whole, whole


@then(
    'after each of the {group}, kept open, the next request gets its own on a '
    'new connection'
)
def check_rest(context: Any, group: str) -> None:
    for name in GROUPS[group]:
        assert call(context, 100, '') == WHOLE, name
        known = context.faulty.connections
        answer = call(context, 100, f'kept: {name}')
        assert context.faulty.connections == known, (name, 'not kept')
        assert isinstance(answer[-1], UpstreamFault), (name, answer)
        assert call(context, 100, '') == WHOLE, name
        assert context.faulty.connections == known + 1, name
