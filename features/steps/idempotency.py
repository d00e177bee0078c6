"""Steps for requests with an idempotency key."""

from __future__ import annotations

import json
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import urllib3
from behave import given, then, when
from gypsumrelay_claims import committer_of
from gypsumrelay_demo import (
    Reply,
    System,
    call,
    complete,
    get_json,
    post_json,
    two_zone_deployment,
    wait_until,
)
from gypsumrelay_entry.idempotency import keyed_request

PATH = '/orders/seat-12'
LOOKUP = '/stock/seat-12'
PROMPT = 'continue the flight log of ' + ' '.join(f'leg{n}' for n in range(90))
# Long enough for a prefill on a separate engine.
LONG_PROMPT = ' '.join(f'leg{n}' for n in range(3000))
KEY = 'completion-key'


@given('two zones whose services take {milliseconds:d} ms')
def start_services(context: Any, milliseconds: int) -> None:
    deployment = attrs.evolve(
        two_zone_deployment(token_ms=1, cold_requests=0, cold_limit=20),
        service={'work_ms': milliseconds},
    )
    start(context, deployment)


@given('two zones and two accounts whose services take {milliseconds:d} ms')
def start_two_accounts(context: Any, milliseconds: int) -> None:
    deployment = two_zone_deployment()
    second = attrs.evolve(deployment.contracts[0], client_account='second')
    deployment = attrs.evolve(
        deployment,
        service={'work_ms': milliseconds},
        contracts=(*deployment.contracts, second),
    )
    start(context, deployment)


@given('two zones with a grace period of {seconds:d} s and tokens of {ms:d} ms')
def start_with_grace(context: Any, seconds: int, ms: int) -> None:
    deployment = attrs.evolve(
        two_zone_deployment(token_ms=ms, cold_requests=0, cold_limit=20),
        agent_settings={'grace_seconds': seconds},
    )
    start(context, deployment)


def start(context: Any, deployment: Any) -> None:
    context.system = System(deployment, context.path)
    context.system.start()
    context.replies = []


def entry_url(context: Any, number: int) -> str:
    return list(context.system.entries.values())[number].url


def send(
    context: Any,
    number: int,
    key: str,
    body: bytes = b'{"seat": 12}',
    path: str = PATH,
    account: int = 0,
) -> Reply:
    secret = list(context.system.keys.values())[account].secret
    headers = {'Authorization': f'Bearer {secret}'}
    if key:
        headers['Idempotency-Key'] = key
    method = 'POST' if path == PATH else 'GET'
    if method == 'GET':
        body = b''
    url = entry_url(context, number) + path
    return call(urllib3.PoolManager(), url, method, headers, body)


@when('an order with the key "{key}" is sent through entry {number:d}')
@when('the same order with the key "{key}" is sent through entry {number:d}')
def send_order(context: Any, key: str, number: int) -> None:
    context.replies.append(send(context, number, key))


@when('another order with the key "{key}" is sent through entry {number:d}')
def send_other_order(context: Any, key: str, number: int) -> None:
    context.replies.append(send(context, number, key, b'{"seat": 13}'))


@when('another account sends the same order with the key "{key}"')
def send_as_other(context: Any, key: str) -> None:
    context.replies.append(send(context, 0, key, account=1))


@when('an order without a key is sent twice')
def send_unkeyed(context: Any) -> None:
    context.replies.extend(send(context, number, '') for number in range(2))


@when('an unauthenticated request with the key "{key}" is sent twice')
def send_unauthenticated(context: Any, key: str) -> None:
    context.replies.extend(
        send(context, number, key, path='/open') for number in range(2)
    )


@when('an order with the key "{key}" is sent through both entries at once')
def send_both(context: Any, key: str) -> None:
    send_twice(context, key, PATH)


@when('a lookup with the key "{key}" is sent through both entries at once')
def look_up_both(context: Any, key: str) -> None:
    send_twice(context, key, LOOKUP)


def send_twice(context: Any, key: str, path: str) -> None:
    with ThreadPoolExecutor(2) as threads:
        sent = [
            threads.submit(send, context, number, key, path=path)
            for number in range(2)
        ]
        context.replies.extend(one.result() for one in sent)


@when('an order with the key "{key}" is started through entry {number:d}')
def start_order(context: Any, key: str, number: int) -> None:
    context.pending_reply = ThreadPoolExecutor(1).submit(
        send, context, number, key
    )


@when('a lookup with the key "{key}" is started through entry {number:d}')
def start_lookup(context: Any, key: str, number: int) -> None:
    threads = ThreadPoolExecutor(1)
    context.pending_reply = threads.submit(
        send, context, number, key, path=LOOKUP
    )


@when('a lookup with the key "{key}" is sent through entry {number:d}')
def look_up(context: Any, key: str, number: int) -> None:
    context.replies.append(send(context, number, key, path=LOOKUP))


@when('a caller sends an order with the key "{key}" and disconnects early')
def send_and_disconnect(context: Any, key: str) -> None:
    secret = next(iter(context.system.keys.values())).secret
    headers = {'Authorization': f'Bearer {secret}', 'Idempotency-Key': key}
    try:
        urllib3.PoolManager().request(
            'POST',
            entry_url(context, 0) + PATH,
            body=b'{"seat": 12}',
            headers=headers,
            timeout=0.8,
            retries=False,
        )
    except urllib3.exceptions.ReadTimeoutError:
        assert len(service_runs(context)) == 1
        return
    raise AssertionError('the response came before the caller disconnected')


@when('a service executes it')
def wait_for_run(context: Any) -> None:
    assert wait_until(lambda: len(service_runs(context)) == 1, 10)


@when('entry {number:d} is killed')
def kill_entry(context: Any, number: int) -> None:
    context.system.kill(list(context.system.entries.values())[number])


@when('the agent that runs it is killed')
def kill_agent(context: Any) -> None:
    name = service_runs(context)[0][0]
    context.system.kill(context.system.agents[f'agent-{name}'])


@when('the log goes {state}')
def set_log_state(context: Any, state: str) -> None:
    set_fault(context, {'down': state == 'down'})


@when('the log is delayed by {milliseconds:d} ms')
def slow_log(context: Any, milliseconds: int) -> None:
    if milliseconds:
        wait_for_idle_log(context)
    set_fault(context, {'slow_ms': milliseconds})


@when('the committer of the key "{key}" is killed after {seconds:g} seconds')
def kill_committer(context: Any, key: str, seconds: float) -> None:
    time.sleep(seconds)
    environ = {
        'HTTP_IDEMPOTENCY_KEY': key,
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': PATH,
    }
    keyed = keyed_request(environ, 'first', b'', durable=True)
    assert keyed is not None
    services = [name for name in context.system.agents if 'service' in name]
    committer = committer_of(('first', keyed.key_digest.hex()), services)
    assert committer is not None
    assert not context.pending_reply.done()
    context.system.kill(context.system.agents[committer])


@when('the log has recorded the claim')
def wait_for_claim(context: Any) -> None:
    assert wait_until(lambda: has_claims(log_records(context)), 10)


def log_records(context: Any) -> list[Any]:
    url = f'{context.system.platform["log"].url}/records?from=0'
    records: list[Any] = get_json(context.system.pool, url)['records']
    return records


def has_claims(records: list[Any]) -> bool:
    return any('claims' in json.dumps(record) for record in records)


@then('the first response has code "{code}", outcome "{outcome}"')
def check_first_failure(context: Any, code: str, outcome: str) -> None:
    context.replies.append(context.pending_reply.result(20))
    check_failure(context, code, outcome)


@when('the log drops the response to its next append')
def drop_response(context: Any) -> None:
    wait_for_idle_log(context)
    set_fault(context, {'lose_answers': 1})


def set_fault(context: Any, fault: dict[str, Any]) -> None:
    url = f'{context.system.platform["log"].url}/fault'
    assert post_json(context.system.pool, url, fault) is not None


def wait_for_idle_log(context: Any) -> None:
    """Wait until the log has had no append for one second."""
    url = f'{context.system.platform["log"].url}/record'
    seen = [-1]

    def is_idle() -> bool:
        before = seen[0]
        seen[0] = get_json(context.system.pool, url)['appends']
        time.sleep(1)
        return seen[0] == before

    assert wait_until(is_idle, 20)


@when('the same order with key "{key}" is retried while claims are unavailable')
def send_until_answered(context: Any, key: str) -> None:
    def is_answered() -> bool:
        send_order(context, key, 1)
        return context.replies[-1].code != 'claim_unavailable'

    assert wait_until(is_answered, 20), context.replies[-1]


def service_runs(context: Any) -> list[tuple[str, dict[str, Any]]]:
    return [
        (name, run)
        for name in context.system.upstreams
        if name.startswith('service')
        for run in context.system.runs_at(name)
    ]


@then('both responses are identical and complete')
def check_same(context: Any) -> None:
    first, second = context.replies
    assert first.status == 200, first
    assert (second.status, second.text) == (first.status, first.text), second
    assert first.whole, first
    run_header = 'X-Service-Run'
    assert second.headers[run_header] == first.headers[run_header]


@then('the last response is complete')
def check_complete(context: Any) -> None:
    reply = context.replies[-1]
    assert reply.status == 200, reply
    assert reply.whole, reply
    assert json.loads(reply.text)['path'], reply


@then('the last response has code "{code}", outcome "{outcome}"')
def check_failure(context: Any, code: str, outcome: str) -> None:
    reply = context.replies[-1]
    assert (reply.code, reply.outcome) == (code, outcome), reply


@then('the last response has a Retry-After header')
def check_retry(context: Any) -> None:
    headers = context.replies[-1].headers
    assert int(headers['Retry-After']) >= 1, headers


@then('the order ran once')
def check_once(context: Any) -> None:
    check_runs(context, 1)


@then('the services ran {count:d} request')
@then('the services ran {count:d} requests')
def check_runs(context: Any, count: int) -> None:
    # Leaves time for a retry, which would be a second run.
    time.sleep(1)
    runs = service_runs(context)
    assert len(runs) == count, runs


@then('the text "{text}" is in no request to a service and no record')
def check_secret(context: Any, text: str) -> None:
    runs = service_runs(context)
    assert len(runs) == 1, runs
    records = log_records(context)
    assert has_claims(records), records
    assert text not in json.dumps(runs)
    assert text not in json.dumps(records)


def completion_body(context: Any) -> bytes:
    """Return the request body; each repeat sends the same bytes."""
    body = {
        'model': 'model',
        'prompt': PROMPT,
        'max_tokens': context.tokens,
        'stream': True,
    }
    return json.dumps(body).encode()


def send_completion(context: Any, number: int) -> Reply:
    secret = next(iter(context.system.keys.values())).secret
    body = json.loads(completion_body(context))
    headers = {'Idempotency-Key': KEY}
    pool = urllib3.PoolManager()
    url = entry_url(context, number)
    return complete(pool, url, secret, body, headers)


@when('a keyed completion of {tokens:d} tokens is started through entry 0')
def start_completion(context: Any, tokens: int) -> None:
    context.tokens = tokens
    context.pending_reply = ThreadPoolExecutor(1).submit(
        send_completion, context, 0
    )


@when(
    'the caller of a keyed completion of {tokens:d} tokens disconnects after 10'
)
def disconnect_from_completion(context: Any, tokens: int) -> None:
    context.tokens = tokens
    secret = next(iter(context.system.keys.values())).secret
    response = urllib3.PoolManager().request(
        'POST',
        f'{entry_url(context, 0)}/v1/completions',
        body=completion_body(context),
        headers={'Authorization': f'Bearer {secret}', 'Idempotency-Key': KEY},
        preload_content=False,
        retries=False,
    )
    assert response.status == 200
    chunks = response.stream(1024)
    for _ in range(10):
        next(chunks)
    response.close()
    # The entry checks five times a second whether the caller disconnected.
    time.sleep(1)


@when('the same completion is sent through entry 1')
def repeat_completion(context: Any) -> None:
    context.repeat = send_completion(context, 1)


@when('its decode has produced {tokens:d} tokens')
def wait_for_decode(context: Any, tokens: int) -> None:
    context.decode = context.system.running_decode(tokens)


@when('the agent of its decode is killed')
def kill_decode_agent(context: Any) -> None:
    context.system.kill(context.system.agents[f'agent-{context.decode}'])


@when('its decode fails over to the other engine')
def wait_for_failover(context: Any) -> None:
    other = 'decode-1' if context.decode == 'decode-0' else 'decode-0'

    def is_running() -> bool:
        runs = context.system.runs_at(other)
        return any(run['state'] == 'running' for run in runs)

    assert wait_until(is_running, 15)


def check_text(context: Any, reply: Reply) -> None:
    assert reply.whole, reply
    assert len(reply.text.split()) == context.tokens, reply


@then('the repeat receives the complete text')
def check_repeat(context: Any) -> None:
    check_text(context, context.repeat)


@then('the first completion receives the complete text')
def check_first(context: Any) -> None:
    check_text(context, context.pending_reply.result(30))
    assert context.repeat.text == context.pending_reply.result().text


@when('a keyed non-streamed completion is sent through each entry in turn')
def send_whole_completions(context: Any) -> None:
    secret = next(iter(context.system.keys.values())).secret
    context.answers = []
    for number in range(2):
        response = context.system.pool.request(
            'POST',
            f'{entry_url(context, number)}/v1/completions',
            json={'model': 'model', 'prompt': LONG_PROMPT, 'max_tokens': 20},
            headers={
                'Authorization': f'Bearer {secret}',
                'Idempotency-Key': KEY,
            },
            retries=False,
        )
        assert response.status == 200, response.data
        context.answers.append(response.json())


@then('both have the same text and usage')
def check_same_usage(context: Any) -> None:
    first, second = context.answers
    assert first['choices'] == second['choices'], context.answers
    assert first['usage'] == second['usage'], context.answers
    assert first['usage']['prompt_tokens'] > 0, first


@then('the engines started one decode of it')
def check_one_decode(context: Any) -> None:
    check_decodes(context, 1)


@then('the engines started at most {count:d} decodes of it')
def check_decodes(context: Any, count: int) -> None:
    time.sleep(1)
    runs = [
        run
        for name in context.system.upstreams
        if name.startswith('decode')
        for run in context.system.runs_at(name)
        if run['kind'] == 'decode'
    ]
    assert 0 < len(runs) <= count, runs
