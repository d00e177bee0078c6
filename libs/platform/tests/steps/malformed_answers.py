"""Steps of malformed_answers.feature."""

from __future__ import annotations

import re
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import given, then, when
from gypsumrelay_errors import Outcome, PlatformUnavailable
from gypsumrelay_platform import ListClient, LogClient
from gypsumrelay_platform.http import exchange, new_pool
from gypsumrelay_standins import GROUPS, FaultyService

FIRST_OFFSET = 7
NESTED_ARRAYS = 100_000
# An answer to each call of the clients of the log and of the list.
PLATFORM_ANSWER = (
    b'{"first_offset": 7, "records": [], "next": 7, "oldest": 7, '
    b'"instances": [], "version": 7}'
)
UNUSABLE_JSON = {
    'no fields': b'{}',
    'an array': b'[1]',
    'nested arrays': b'[' * NESTED_ARRAYS + b']' * NESTED_ARRAYS,
    'numbers that are infinite': PLATFORM_ANSWER.replace(b'7', b'1e999'),
    'numbers of too many digits': PLATFORM_ANSWER.replace(b'7', b'9' * 5000),
    'texts that are no numbers': PLATFORM_ANSWER.replace(b'7', b'"none"'),
    'numbers that are null': PLATFORM_ANSWER.replace(b'7', b'null'),
}
CALLS = {
    'an append': lambda url: LogClient(url).append([]),
    'a read': lambda url: LogClient(url).read(0),
    'a read of the list': lambda url: ListClient(url).read(),
}


@given('a faulty log service')
def start_service(context: Any) -> None:
    whole = b'{"first_offset": 7}'
    context.service = FaultyService(whole=whole, part=whole)
    context.service.start()
    context.add_cleanup(context.service.stop)


def append(context: Any, name: str) -> int | PlatformUnavailable:
    context.service.fault = f'odd: {name}'
    # A new client, since the connection of each answer is closed.
    return LogClient(context.service.url).append([])


@then('none of the {group} is the answer to an append')
def check_none(context: Any, group: str) -> None:
    answers = {name: append(context, name) for name in GROUPS[group]}
    wrong = [name for name, found in answers.items() if found == FIRST_OFFSET]
    assert not wrong, wrong
    # It may have been executed.
    for name, found in answers.items():
        assert found.outcome is Outcome.unknown, name


@then('each of the {group} is the answer to an append')
def check_each(context: Any, group: str) -> None:
    for name in GROUPS[group]:
        assert append(context, name) == FIRST_OFFSET, name


@when('it answers with the fault "{fault}", framed by {framing}')
def set_fault(context: Any, fault: str, framing: str) -> None:
    context.service.fault = fault
    context.service.framing = framing


@then('{call} takes no unusable JSON for an answer')
def check_unusable(context: Any, call: str) -> None:
    url = context.service.url
    wrong = {}
    with ThreadPoolExecutor(1) as pool:
        for name, content in UNUSABLE_JSON.items():
            context.service.whole = content
            called = pool.submit(CALLS[call], url)
            found = called.exception() or called.result()
            if not isinstance(found, PlatformUnavailable):
                wrong[name] = found
    assert not wrong, wrong


@then('calls with bodies of {sizes} bytes get no answer')
def check_parts(context: Any, sizes: str) -> None:
    pool = new_pool()
    for size in map(int, re.findall(r'\d+', sizes)):
        found = exchange(pool, 'POST', context.service.url, 'x' * size)
        assert isinstance(found, PlatformUnavailable), (size, found)
        assert found.outcome is Outcome.unknown, size
