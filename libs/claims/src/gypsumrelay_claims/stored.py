"""Responses that an agent keeps for repeated requests."""

from __future__ import annotations

import enum
from typing import Final

import attrs
from gypsumrelay_errors import Failure

from gypsumrelay_claims.actions import ClaimKey

# What a response and a part of it occupy beside their content, measured as
# the size of the objects in CPython 3.11 and rounded up.
RESPONSE_BYTES: Final = 1000
PART_BYTES: Final = 200


class ResponseState(enum.Enum):
    """What is known about a stored response.

    `lost` means that the request ran here and its response was not kept.
    """

    running = 'running'
    finished = 'finished'
    failed = 'failed'
    lost = 'lost'


@attrs.frozen
class Part:
    """A token batch with its text, or a piece of a body.

    Attributes:
        first: Index of the first token, or of the first byte.
        count: Number of tokens, or of bytes.
        content: The text, or the bytes.
    """

    first: int
    count: int
    content: str | bytes

    @property
    def end(self) -> int:
        """The index behind the part."""
        return self.first + self.count


@attrs.frozen
class ResponseHead:
    """Status and headers of a service's response."""

    status: int
    headers: tuple[tuple[str, str], ...]


@attrs.define
class StoredResponse:
    """One response.

    Attributes:
        request_id: The request that ran.
        keep_until: Until when the response is kept.
        state: What is known about it.
        head: Status and headers, for a service.
        parts: The content so far, without gaps.
        next_index: The index behind the last part.
        reason: Why a token stream finished.
        failure: Why the request failed.
        size: Bytes that it occupies.
    """

    request_id: str
    keep_until: float
    state: ResponseState = ResponseState.running
    head: ResponseHead | None = None
    parts: list[Part] = attrs.field(factory=list)
    next_index: int = 0
    reason: str = ''
    failure: Failure | None = None
    size: int = RESPONSE_BYTES


@attrs.frozen
class ResponseRead:
    """A response from an index on.

    Attributes:
        request_id: The request that ran.
        state: Where it is `running`, the reader asks again later.
        head: Status and headers, for a service.
        parts: The content from the index on. A token batch cannot be
            split, so the first one may begin before the index.
        next_index: From where to read on.
        reason: Why a token stream finished.
        failure: Why the request failed.
    """

    request_id: str
    state: ResponseState
    head: ResponseHead | None
    parts: tuple[Part, ...]
    next_index: int
    reason: str
    failure: Failure | None


@attrs.define
class StoredResponses:
    """The responses of one agent.

    Attributes:
        max_bytes: Bound on their sizes together.
        running: Responses of running requests, by key.
        ended: All others, in the order in which they ended.
        used_bytes: Their sizes together.
    """

    max_bytes: int
    running: dict[ClaimKey, StoredResponse] = attrs.field(factory=dict)
    ended: dict[ClaimKey, StoredResponse] = attrs.field(factory=dict)
    used_bytes: int = 0


def begin_response(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    keep_until: float,
) -> bool:
    """Start to keep the response of a request that is about to run.

    Returns:
        Whether the request may run: False where another request with the
        key runs here, or where memory is full of running responses.
    """
    if key in store.running:
        return store.running[key].request_id == request_id
    _drop(store, key)
    if not _make_room(store, RESPONSE_BYTES):
        return False
    store.running[key] = StoredResponse(request_id, keep_until)
    store.used_bytes += RESPONSE_BYTES
    return True


def set_head(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    head: ResponseHead,
) -> None:
    """Keep the status and headers of a service's response."""
    response = _find_running(store, key, request_id)
    if response is None or response.head is not None:
        return
    size = PART_BYTES + sum(
        PART_BYTES + len(name) + len(text) for name, text in head.headers
    )
    if _grow(store, key, response, size):
        response.head = head


def append_part(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    part: Part,
) -> None:
    """Keep a part; one that came before is ignored.

    A response with a gap is lost, since a repeated request must get it
    whole or not at all.
    """
    response = _find_running(store, key, request_id)
    if response is None or part.end <= response.next_index:
        return
    if part.first != response.next_index:
        _end(store, key, ResponseState.lost)
        return
    if _grow(store, key, response, PART_BYTES + _size_of(part.content)):
        response.parts.append(part)
        response.next_index = part.end


def finish_response(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    reason: str,
    keep_until: float,
) -> None:
    """Mark a response as whole and keep it until an instant."""
    response = _find_running(store, key, request_id)
    if response:
        response.reason = reason
        response.keep_until = keep_until
        _end(store, key, ResponseState.finished)


def fail_response(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    failure: Failure,
    keep_until: float,
) -> None:
    """Mark a request as failed and keep the failure until an instant."""
    response = _find_running(store, key, request_id)
    if response:
        response.failure = failure
        response.keep_until = keep_until
        _end(store, key, ResponseState.failed)


def lose_response(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
) -> None:
    """Mark a response whose run can no longer be followed."""
    if _find_running(store, key, request_id):
        _end(store, key, ResponseState.lost)


def read_response(
    store: StoredResponses,
    key: ClaimKey,
    index: int,
) -> ResponseRead | None:
    """Return a response from an index on, or None where none is known."""
    response = store.running.get(key) or store.ended.get(key)
    if response is None:
        return None
    parts = [part for part in response.parts if part.end > index]
    if parts:
        parts[0] = _cut(parts[0], index)
    return ResponseRead(
        response.request_id,
        response.state,
        response.head,
        tuple(parts),
        response.next_index,
        response.reason,
        response.failure,
    )


def expire_responses(store: StoredResponses, now: float) -> None:
    """Drop what ended long enough ago; what still runs by then is lost."""
    for key, response in list(store.ended.items()):
        if response.keep_until <= now:
            _drop(store, key)
    for running, response in list(store.running.items()):
        if response.keep_until <= now:
            _end(store, running, ResponseState.lost)


def _find_running(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
) -> StoredResponse | None:
    response = store.running.get(key)
    if response and response.request_id == request_id:
        return response
    return None


def _end(store: StoredResponses, key: ClaimKey, state: ResponseState) -> None:
    response = store.running.pop(key)
    response.state = state
    store.ended[key] = response
    if state is ResponseState.lost:
        store.used_bytes -= response.size - RESPONSE_BYTES
        response.size = RESPONSE_BYTES
        response.head = None
        response.parts = []


def _drop(store: StoredResponses, key: ClaimKey) -> None:
    response = store.ended.pop(key, None)
    if response:
        store.used_bytes -= response.size


def _grow(
    store: StoredResponses,
    key: ClaimKey,
    response: StoredResponse,
    size: int,
) -> bool:
    """Make room for a part; a response that does not fit is lost."""
    if not _make_room(store, size):
        _end(store, key, ResponseState.lost)
        return False
    response.size += size
    store.used_bytes += size
    return True


def _make_room(store: StoredResponses, size: int) -> bool:
    """Drop ended responses, oldest first, until the size fits."""
    while store.ended and store.used_bytes + size > store.max_bytes:
        _drop(store, next(iter(store.ended)))
    return store.used_bytes + size <= store.max_bytes


def _size_of(content: str | bytes) -> int:
    if isinstance(content, bytes):
        return len(content)
    return len(content.encode(errors='surrogatepass'))


def _cut(part: Part, index: int) -> Part:
    """Return the rest of a piece of a body; token batches stay whole."""
    if index <= part.first or isinstance(part.content, str):
        return part
    content = part.content[index - part.first :]
    return Part(index, len(content), content)
