"""Steps for stored responses."""

from __future__ import annotations

from typing import Any, Final

from behave import given, then
from gypsumrelay_claims import (
    ResponseHead,
    ResponsePart,
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
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

KEY: Final = ('account', 'k')
MAX_BYTES: Final = 6000
HEAD: Final = ResponseHead(201, (('content-type', 'text/plain'),))


@given('a running stream with batches of 3, 2 and 4 tokens')
def run_stream(context: Any) -> None:
    context.store = StoredResponses(MAX_BYTES)
    assert begin_response(context.store, KEY, 'r1', 100)
    first = 0
    for count in (3, 2, 4):
        part = ResponsePart(first, count, 'x' * count)
        append_part(context.store, KEY, 'r1', part)
        first += count


@then('reading from {index:d} gives {count:d} tokens in state {state}')
def check_read(context: Any, index: int, count: int, state: str) -> None:
    found = read_response(context.store, KEY, index)
    assert found.state is ResponseState(state)
    assert sum(part.count for part in found.parts) == count, found


@given('it finishes with reason stop')
def finish_stream(context: Any) -> None:
    finish_response(context.store, KEY, 'r1', 'stop', 100)
    assert read_response(context.store, KEY, 0).reason == 'stop'


class ResponseMachine(RuleBasedStateMachine):
    """Compares stored responses with the contents that were written."""

    def __init__(self) -> None:
        """Start with an empty store."""
        super().__init__()
        self.store = StoredResponses(MAX_BYTES)
        self.written: dict[Any, tuple[str, bytes]] = {}
        self.ended: list[Any] = []
        self.expires_at: dict[Any, float] = {}
        self.now: float = 0
        self.request_count = 0

    @rule(key=st.integers(0, 5), seconds=st.integers(1, 40))
    def begin(self, key: int, seconds: int) -> None:
        """Start a request, possibly while another one with its key runs."""
        running = key in self.store.running
        self.request_count += 1
        name = f'r{self.request_count}'
        if begin_response(self.store, key, name, self.now + seconds):
            assert not running, 'two requests with one key are running'
            set_head(self.store, key, name, HEAD)
            self.written[key] = (name, b'')
            self.expires_at[key] = self.now + seconds
            self.ended = [other for other in self.ended if other != key]

    @rule(key=st.integers(0, 5), size=st.integers(1, 1500))
    def write(self, key: int, size: int) -> None:
        """Store a part twice, and a part of another request."""
        if key not in self.store.running:
            return
        request_id, content = self.written[key]
        chunk = bytes([self.request_count % 256]) * size
        part = ResponsePart(len(content), size, chunk)
        append_part(self.store, key, request_id, part)
        if key not in self.store.running:
            return
        self.written[key] = (request_id, content + chunk)
        append_part(self.store, key, request_id, part)
        other_part = ResponsePart(len(content) + size, 1, b'x')
        append_part(self.store, key, 'earlier request', other_part)
        assert key in self.store.running, 'a duplicate part lost the response'

    @rule(key=st.integers(0, 5))
    def skip(self, key: int) -> None:
        """Store a part after a gap."""
        if key in self.store.running:
            request_id, content = self.written[key]
            part = ResponsePart(len(content) + 1, 1, b'x')
            append_part(self.store, key, request_id, part)
            assert self.store.ended[key].state is ResponseState.lost

    @rule(key=st.integers(0, 5), fails=st.booleans())
    def end(self, key: int, *, fails: bool) -> None:
        """End a request."""
        if key not in self.store.running:
            return
        name = self.written[key][0]
        self.expires_at[key] = self.now + 30
        if fails:
            failure = UpstreamFailed('it failed')
            fail_response(self.store, key, name, failure, self.expires_at[key])
        else:
            finish_response(self.store, key, name, 'stop', self.expires_at[key])
            self.ended.append(key)

    @rule(size=st.integers(1, 1500))
    def serve(self, size: int) -> None:
        """Run two requests in sequence, while others may be running."""
        for key in (4, 5):
            self.begin(key, 30)
            self.write(key, size)
            self.end(key, fails=False)

    @rule(seconds=st.integers(1, 20))
    def wait(self, seconds: int) -> None:
        """Advance the time and check the expiry of responses."""
        self.now += seconds
        expire_responses(self.store, self.now)
        for key, ended in self.store.ended.items():
            is_lost = ended.state is ResponseState.lost
            assert is_lost or self.expires_at[key] > self.now, (
                'not expired in time'
            )

    @invariant()
    def check(self) -> None:
        """Check the memory limit, the order of eviction and all contents."""
        store = self.store
        responses = [*store.running.values(), *store.ended.values()]
        assert store.used_bytes == sum(kept.size for kept in responses)
        assert store.used_bytes <= MAX_BYTES, 'the memory limit is exceeded'
        kept = [key for key in self.ended if key in store.ended]
        unexpired = [
            key for key in self.ended if self.expires_at[key] > self.now
        ]
        assert kept == unexpired[len(unexpired) - len(kept) :], (
            'a newer response was evicted'
        )
        for key, (name, content) in self.written.items():
            start = len(content) // 2
            found = read_response(store, key, start)
            if found is None:
                continue
            assert found.request_id == name
            lost = found.state is ResponseState.lost
            expected = b'' if lost else content[start:]
            rest = b''.join(part.content for part in found.parts)
            assert rest == expected, 'wrong content'


@then(
    'the response machine with {examples:d} examples of {steps:d} steps passes',
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
        ),
    )
