"""Responses that an agent stores for repeated requests."""

from __future__ import annotations

import enum
from typing import Final

import attrs
from gypsumrelay_errors import Failure

from gypsumrelay_claims.actions import ClaimKey

# Memory overhead of a response and of each of its parts in bytes, without
# their content: sizes of the objects in CPython 3.11, rounded up.
RESPONSE_BYTES: Final = 1000
PART_BYTES: Final = 200


class ResponseState(enum.Enum):
    """State of a stored response.

    Attributes:
        running: The request is running, and the response is incomplete.
        finished: The response is complete.
        failed: The request failed.
        lost: The request ran here, but its response was not stored.
    """

    running = 'running'
    finished = 'finished'
    failed = 'failed'
    lost = 'lost'


@attrs.frozen
class ResponsePart:
    """A batch of tokens with their text, or a chunk of a body.

    Attributes:
        first_index: Index of the first token or byte.
        count: Number of tokens or bytes.
        content: Text of the tokens, or the bytes.
    """

    first_index: int
    count: int
    content: str | bytes

    @property
    def end(self) -> int:
        """Index of the first token or byte after the part."""
        return self.first_index + self.count


@attrs.frozen
class ResponseHead:
    """Status and headers of a service's response."""

    status: int
    headers: tuple[tuple[str, str], ...]


@attrs.define
class StoredResponse:
    """One stored response.

    Attributes:
        request_id: Id of the request that ran.
        expires_at: Time in seconds at which the response expires.
        state: State of the response.
        head: Status and headers of a service's response.
        parts: Contiguous content received so far.
        next_index: Index of the first token or byte after the last part.
        reason: Finish reason of a token stream.
        failure: Failure of the request.
        size: Memory used, in bytes.
    """

    request_id: str
    expires_at: float
    state: ResponseState = ResponseState.running
    head: ResponseHead | None = None
    parts: list[ResponsePart] = attrs.field(factory=list)
    next_index: int = 0
    reason: str = ''
    failure: Failure | None = None
    size: int = RESPONSE_BYTES


@attrs.frozen
class ResponseRead:
    """A response from a given index.

    Attributes:
        request_id: Id of the request that ran.
        state: State of the response; `running` means that more content may
            be read later.
        head: Status and headers of a service's response.
        parts: Content from the given index. A batch of tokens cannot be
            split, so the first part may start before the index.
        next_index: Index of the next read.
        reason: Finish reason of a token stream.
        failure: Failure of the request.
    """

    request_id: str
    state: ResponseState
    head: ResponseHead | None
    parts: tuple[ResponsePart, ...]
    next_index: int
    reason: str
    failure: Failure | None


@attrs.define
class StoredResponses:
    """Stored responses of one agent.

    Attributes:
        max_bytes: Maximum memory in bytes.
        running: Responses of running requests, by key.
        ended: All other responses by key, in the order in which they ended.
        used_bytes: Memory used by all responses, in bytes.
    """

    max_bytes: int
    running: dict[ClaimKey, StoredResponse] = attrs.field(factory=dict)
    ended: dict[ClaimKey, StoredResponse] = attrs.field(factory=dict)
    used_bytes: int = 0


def begin_response(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    expires_at: float,
) -> bool:
    """Start to store the response of a request that is about to run.

    Returns:
        Whether the request may run: False if another request with the key is
        running here, or if running responses use all the memory.
    """
    if key in store.running:
        return store.running[key].request_id == request_id
    _delete(store, key)
    if not _evict_until_fits(store, RESPONSE_BYTES):
        return False
    store.running[key] = StoredResponse(request_id, expires_at)
    store.used_bytes += RESPONSE_BYTES
    return True


def set_head(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    head: ResponseHead,
) -> None:
    """Store the status and headers of a service's response."""
    response = _find_running(store, key, request_id)
    if response is None or response.head is not None:
        return
    size = PART_BYTES + sum(
        PART_BYTES + len(name) + len(text) for name, text in head.headers
    )
    if _add_size(store, key, response, size):
        response.head = head


def append_part(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    part: ResponsePart,
) -> None:
    """Store a part of a response; duplicates are ignored.

    A response with a gap is marked as lost, since a repeated request must
    get the complete response or none.
    """
    response = _find_running(store, key, request_id)
    if response is None or part.end <= response.next_index:
        return
    if part.first_index != response.next_index:
        _end_response(store, key, ResponseState.lost)
        return
    if _add_size(
        store,
        key,
        response,
        PART_BYTES + _content_bytes(part.content),
    ):
        response.parts.append(part)
        response.next_index = part.end


def finish_response(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    reason: str,
    expires_at: float,
) -> None:
    """Mark a response as complete and set its expiry."""
    response = _find_running(store, key, request_id)
    if response:
        response.reason = reason
        response.expires_at = expires_at
        _end_response(store, key, ResponseState.finished)


def fail_response(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
    failure: Failure,
    expires_at: float,
) -> None:
    """Mark a request as failed and set the expiry of the failure."""
    response = _find_running(store, key, request_id)
    if response:
        response.failure = failure
        response.expires_at = expires_at
        _end_response(store, key, ResponseState.failed)


def mark_response_lost(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
) -> None:
    """Mark a response as lost, because its request cannot be followed."""
    if _find_running(store, key, request_id):
        _end_response(store, key, ResponseState.lost)


def read_response(
    store: StoredResponses,
    key: ClaimKey,
    index: int,
) -> ResponseRead | None:
    """Return a response from an index, or None if none is stored."""
    response = store.running.get(key) or store.ended.get(key)
    if response is None:
        return None
    parts = [part for part in response.parts if part.end > index]
    if parts:
        parts[0] = _trim(parts[0], index)
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
    """Delete expired responses; mark running ones past their expiry as lost."""
    for key, response in list(store.ended.items()):
        if response.expires_at <= now:
            _delete(store, key)
    for running_key, response in list(store.running.items()):
        if response.expires_at <= now:
            _end_response(store, running_key, ResponseState.lost)


def _find_running(
    store: StoredResponses,
    key: ClaimKey,
    request_id: str,
) -> StoredResponse | None:
    response = store.running.get(key)
    if response and response.request_id == request_id:
        return response
    return None


def _end_response(
    store: StoredResponses,
    key: ClaimKey,
    state: ResponseState,
) -> None:
    response = store.running.pop(key)
    response.state = state
    store.ended[key] = response
    if state is ResponseState.lost:
        store.used_bytes -= response.size - RESPONSE_BYTES
        response.size = RESPONSE_BYTES
        response.head = None
        response.parts = []


def _delete(store: StoredResponses, key: ClaimKey) -> None:
    response = store.ended.pop(key, None)
    if response:
        store.used_bytes -= response.size


def _add_size(
    store: StoredResponses,
    key: ClaimKey,
    response: StoredResponse,
    size: int,
) -> bool:
    """Add to the size of a response, or mark it as lost if it does not fit.

    Returns:
        Whether the size fits.
    """
    if not _evict_until_fits(store, size):
        _end_response(store, key, ResponseState.lost)
        return False
    response.size += size
    store.used_bytes += size
    return True


def _evict_until_fits(store: StoredResponses, size: int) -> bool:
    """Evict ended responses, oldest first; return whether the size fits."""
    while store.ended and store.used_bytes + size > store.max_bytes:
        _delete(store, next(iter(store.ended)))
    return store.used_bytes + size <= store.max_bytes


def _content_bytes(content: str | bytes) -> int:
    if isinstance(content, bytes):
        return len(content)
    return len(content.encode(errors='surrogatepass'))


def _trim(part: ResponsePart, index: int) -> ResponsePart:
    """Return the chunk of a body from an index; token batches stay whole."""
    if index <= part.first_index or isinstance(part.content, str):
        return part
    content = part.content[index - part.first_index :]
    return ResponsePart(index, len(content), content)
