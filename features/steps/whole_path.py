"""Steps for requests through a complete deployment."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when
from gypsumrelay_demo import (
    System,
    call,
    complete,
    get_json,
    make_load,
    run_load,
    smallest_deployment,
    wait_until,
)
from gypsumrelay_standins import expected_text

PROMPT = 'the seal of the left window'


def entry_url(context: Any) -> str:
    return next(iter(context.system.entries.values())).url


def any_key(context: Any) -> str:
    return next(iter(context.system.keys.values())).secret


def runs_of(context: Any, upstream: str) -> list[dict[str, Any]]:
    url = context.system.upstreams[upstream].url
    return get_json(context.system.pool, f'{url}/record')['runs']


@given('the smallest deployment')
def start_smallest(context: Any) -> None:
    context.system = System(smallest_deployment(), context.path)
    context.system.start()


@when('a caller requests {tokens:d} tokens as a stream')
def request_stream(context: Any, tokens: int) -> None:
    send_completion_request(context, tokens, stream=True)


@when('a caller requests {tokens:d} tokens without streaming')
def request_without_stream(context: Any, tokens: int) -> None:
    send_completion_request(context, tokens, stream=False)


def send_completion_request(context: Any, tokens: int, *, stream: bool) -> None:
    body = {
        'model': 'model',
        'prompt': PROMPT,
        'max_tokens': tokens,
        'stream': stream,
    }
    context.tokens = tokens
    context.reply = complete(
        context.system.pool,
        entry_url(context),
        any_key(context),
        body,
    )


@then('the caller receives the complete response to its prompt')
def check_answer(context: Any) -> None:
    caller = getattr(context, 'caller', None)
    if caller is not None:
        caller.join(60)
        context.reply = context.replies[-1]
    assert context.reply.whole, context.reply
    prompt = getattr(context, 'prompt', PROMPT)
    expected = expected_text(prompt, context.tokens)
    assert context.reply.text == expected, context.reply


@when('a caller posts an order')
def post_order(context: Any) -> None:
    post(context, any_key(context))
    assert context.reply.status == 200, context.reply


@when('a caller with an unknown API key posts an order')
def post_unknown(context: Any) -> None:
    post(context, 'gr-unknown')


def post(context: Any, key: str) -> None:
    context.reply = call(
        context.system.pool,
        f'{entry_url(context)}/orders/1?key=none',
        'POST',
        {'Authorization': f'Bearer {key}', 'X-Mark': 'kept'},
        b'order one',
    )


@then('the service executed it once')
def check_ran_once(context: Any) -> None:
    runs = runs_of(context, 'service-0')
    assert len(runs) == 1, runs
    assert runs[0]['body'] == 'order one'
    assert ['X-Mark', 'kept'] in runs[0]['headers']


@then('the service executed no request')
def check_ran_nothing(context: Any) -> None:
    assert not runs_of(context, 'service-0')


@then('no upstream received the API key')
def check_no_key(context: Any) -> None:
    key = any_key(context)
    for name in context.system.upstreams:
        assert key not in str(runs_of(context, name)), name


@then('the response has code "{code}" and outcome "{outcome}"')
def check_refusal(context: Any, code: str, outcome: str) -> None:
    assert context.reply.code == code, context.reply
    assert context.reply.outcome == outcome, context.reply


@when('{count:d} mixed requests are sent with seed {seed:d}')
def send_load(context: Any, count: int, seed: int) -> None:
    load = make_load(context.system, count, seed)
    context.tally = run_load(context.system, load)


@then('every accepted request got a complete response')
def check_all_answered(context: Any) -> None:
    tally = context.tally
    assert tally.accepted, tally
    assert tally.accepted == tally.answered, tally


@then('no request ran twice and no rejected request ran')
def check_none_doubled(context: Any) -> None:
    assert context.tally.is_clean, context.tally


@then('the status command lists {count:d} processes at the same log offset')
def check_status(context: Any, count: int) -> None:
    def agrees() -> bool:
        context.answer = json.loads(
            context.system.run_command('status', '--json'),
        )
        rows = context.answer['instances']
        offsets = {row['offset'] for row in rows}
        return len(rows) == count and len(offsets) == 1

    assert wait_until(agrees, 10), context.answer


@then('the timeline command shows the request at the entry and an agent')
def check_timeline(context: Any) -> None:
    request_id = context.reply.headers['X-Request-Id']
    output = context.system.run_command(
        'timeline',
        '--request',
        request_id,
        '--json',
    )
    found = json.loads(output)
    events = found if isinstance(found, list) else found['events']
    instances = {event['instance'] for event in events}
    assert 'entry-0' in instances, found
    assert any(name.startswith('agent-') for name in instances), found
