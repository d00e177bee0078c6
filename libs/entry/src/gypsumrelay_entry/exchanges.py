"""HTTP exchange with a caller."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Any

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import (
    BodyTooLarge,
    Failure,
    KeyWithdrawn,
    Outcome,
)

from gypsumrelay_entry.callers import Caller, check_key
from gypsumrelay_entry.failures import CallerDisconnected
from gypsumrelay_entry.responses import (
    Headers,
    failure_body,
    failure_headers,
    status_line,
)

if TYPE_CHECKING:
    from gypsumrelay_entry.context import Entry
    from gypsumrelay_entry.mailboxes import AbortCheck

StartResponse = Callable[[str, Headers], Any]
Chunks = Iterable[bytes]


@attrs.frozen
class Exchange:
    """HTTP exchange with a caller.

    Attributes:
        entry: The entry that accepted the request.
        environ: WSGI environment of the request.
        start_response: WSGI callable that starts the response.
        request_id: Id of the request.
    """

    entry: Entry
    environ: dict[str, Any]
    start_response: StartResponse
    request_id: str

    def reject(self, failure: Failure) -> Chunks:
        """Start an error response and return its body."""
        name = 'entry.refused'
        if failure.outcome is not Outcome.not_run:
            name = 'entry.failed'
        self.entry.metrics.count(name)
        self.entry.record(
            'refused',
            self.request_id,
            code=failure.code,
            outcome=failure.outcome.value,
        )
        headers = failure_headers(failure, monotonic())
        headers.append(('X-Request-Id', self.request_id))
        self.start_response(status_line(failure.http_status), headers)
        return [failure_body(failure)]

    def begin_response(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> None:
        """Start a response with a status and headers."""
        self.entry.record('answering', self.request_id, status=status)
        self.start_response(
            status_line(status),
            [*headers, ('X-Request-Id', self.request_id)],
        )

    def read_body(self) -> bytes | BodyTooLarge:
        """Return the request's body, which waitress has already buffered."""
        limit = self.entry.settings.caller.max_body_bytes
        body: bytes = self.environ['wsgi.input'].read(limit + 1)
        if len(body) > limit:
            return BodyTooLarge(f'the body is over {limit} bytes')
        return body

    def new_abort_check(self, caller: Caller | None) -> AbortCheck:
        """Return the check that a waiting request repeats.

        The check returns a failure once the caller has disconnected or its
        key is no longer valid.
        """
        is_disconnected = self.environ['waitress.client_disconnected']

        def abort_reason() -> Failure | None:
            if is_disconnected():
                return CallerDisconnected(
                    'the caller closed its connection',
                    Outcome.failed,
                )
            if caller is None:
                return None
            if check_key(caller.key_digest, self.entry.replica) is None:
                return None
            return KeyWithdrawn('the key was withdrawn', Outcome.failed)

        return abort_reason


class CountedBody:
    """Response body that counts its request as open until it is closed."""

    def __init__(self, entry: Entry, chunks: Chunks) -> None:
        """Wrap the body of a request that is already counted as open."""
        self.entry = entry
        self.chunks = chunks

    def __iter__(self) -> Iterator[bytes]:
        """Return an iterator over the chunks of the body."""
        return iter(self.chunks)

    def close(self) -> None:
        """Close the wrapped body and count the request as ended.

        WSGI servers call this at the end of each response.
        """
        close = getattr(self.chunks, 'close', None)
        if close is not None:
            close()
        self.entry.open_requests.end()
