"""Steps for stored responses."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then, when
from gypsumrelay_claims import (
    Part,
    ResponseHead,
    ResponseState,
    StoredResponses,
    append_part,
    begin_response,
    expire_responses,
    fail_response,
    finish_response,
    read_response,
    set_head,
)
from gypsumrelay_errors import UpstreamFailed
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

KEY: Final = ('account', 'k')
BOUND: Final = 6000
HEAD: Final = ResponseHead(201, (('content-type', 'text/plain'),))


@given('a running stream with batches of 3, 2 and 4 tokens')
def run_stream(context: Any) -> None:
    context.store = StoredResponses(BOUND)
    assert begin_response(context.store, KEY, 'r1', 100)
    first = 0
    for count in (3, 2, 4):
        part = Part(first, count, 'x' * count)
        for _ in range(2):
            append_part(context.store, KEY, 'r1', part)
        first += count


@then('reading from {index:d} gives {count:d} tokens in state {state}')
def check_read(context: Any, index: int, count: int, state: str) -> None:
    found = read_response(context.store, KEY, index)
    assert found.state is ResponseState(state)
    assert sum(part.count for part in found.parts) == count, found


@when('it finishes with reason stop')
def finish_stream(context: Any) -> None:
    finish_response(context.store, KEY, 'r1', 'stop', 100)
    assert read_response(context.store, KEY, 0).reason == 'stop'


@given('a finished service response in two pieces')
def run_service(context: Any) -> None:
    context.store = StoredResponses(BOUND)
    begin_response(context.store, KEY, 'r1', 100)
    set_head(context.store, KEY, 'r1', HEAD)
    append_part(context.store, KEY, 'r1', Part(0, 4, b'abcd'))
    append_part(context.store, KEY, 'r1', Part(4, 3, b'efg'))
    finish_response(context.store, KEY, 'r1', '', 100)


@then('reading from the middle of a piece gives exactly the rest')
def check_rest(context: Any) -> None:
    found = read_response(context.store, KEY, 2)
    assert found.head == HEAD
    assert found.parts == (Part(2, 2, b'cd'), Part(4, 3, b'efg'))


@when('a batch comes that begins at {first:d}')
def append_gap(context: Any, first: int) -> None:
    append_part(context.store, KEY, 'r1', Part(first, 1, 'x'))


@when('a batch of another request comes')
def append_foreign(context: Any) -> None:
    append_part(context.store, KEY, 'r0', Part(9, 1, 'x'))
    assert not begin_response(context.store, KEY, 'r0', 100)


class ResponseMachine(RuleBasedStateMachine):
    """Writes, against the contents as they were written."""

    def __init__(self) -> None:
        """Start without responses."""
        super().__init__()
        self.store = StoredResponses(BOUND)
        self.written: dict[Any, tuple[str, bytes]] = {}
        self.ended: list[Any] = []
        self.ends: dict[Any, float] = {}
        self.now: float = 0
        self.made = 0

    @rule(number=st.integers(0, 5), seconds=st.integers(1, 40))
    def begin(self, number: int, seconds: int) -> None:
        """A request starts, perhaps beside a running one."""
        key = ('account', str(number))
        before = key in self.store.running
        self.made += 1
        began = begin_response(
            self.store,
            key,
            f'r{self.made}',
            self.now + seconds,
        )
        if began:
            assert not before, 'two requests run with one key'
            self.written[key] = (f'r{self.made}', b'')
            self.ends[key] = self.now + seconds
            self.ended = [other for other in self.ended if other != key]

    @rule(number=st.integers(0, 5), size=st.integers(1, 1500))
    def write(self, number: int, size: int) -> None:
        """A part arrives."""
        key = ('account', str(number))
        if key in self.written:
            request_id, content = self.written[key]
            added = bytes([self.made % 256]) * size
            part = Part(len(content), size, added)
            append_part(self.store, key, request_id, part)
            if key in self.store.running:
                self.written[key] = (request_id, content + added)

    @rule(number=st.integers(0, 5), fails=st.booleans())
    def end(self, number: int, *, fails: bool) -> None:
        """A request ends."""
        key = ('account', str(number))
        if key not in self.store.running:
            return
        name = self.written[key][0]
        self.ends[key] = self.now + 30
        if fails:
            failure = UpstreamFailed('it failed')
            fail_response(self.store, key, name, failure, self.ends[key])
        else:
            finish_response(self.store, key, name, 'stop', self.ends[key])
            self.ended.append(key)

    @rule(seconds=st.integers(1, 20))
    def wait(self, seconds: int) -> None:
        """Time passes."""
        self.now += seconds
        expire_responses(self.store, self.now)
        for key, ended in self.store.ended.items():
            running_out = ended.state is ResponseState.lost
            assert running_out or self.ends[key] > self.now, 'kept too long'

    @invariant()
    def check(self) -> None:
        """Check the bound and the order of eviction."""
        store = self.store
        both = [*store.running.values(), *store.ended.values()]
        assert store.used_bytes == sum(kept.size for kept in both)
        assert store.used_bytes <= BOUND, 'the bound is broken'
        kept = [key for key in self.ended if key in store.ended]
        early = [key for key in self.ended if self.ends[key] > self.now]
        assert kept == early[len(early) - len(kept) :], 'a newer one went'
        for key, (request_id, content) in self.written.items():
            self.check_content(key, request_id, content)

    def check_content(self, key: Any, name: str, content: bytes) -> None:
        """Check that a read gives the rest or says lost."""
        start = len(content) // 2
        found = read_response(self.store, key, start)
        if found is None:
            return
        assert found.request_id == name
        rest = b''.join(part.content for part in found.parts)
        if found.state is ResponseState.lost:
            assert not rest
        else:
            assert rest == content[start:], 'not whole'


@then(
    'the response machine with {examples:d} examples of {steps:d} steps holds',
)
def check_responses(context: Any, examples: int, steps: int) -> None:
    run_state_machine_as_test(
        ResponseMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(HealthCheck),
        ),
    )
