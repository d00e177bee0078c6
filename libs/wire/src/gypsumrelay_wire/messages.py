"""Messages of entries and agents.

The order of fields is the wire format: new fields are added at the end with a
default, and tags are never reused.
"""

from __future__ import annotations

from typing import ClassVar

import attrs

from gypsumrelay_wire.base import Message


@attrs.frozen
class LoadReport(Message):
    """Reports the free capacity of an upstream, with each heartbeat.

    Attributes:
        upstream: Name of the upstream.
        kind: Kind of the upstream.
        serves: Model or plain service of the upstream.
        free_slots: Number of requests that can be accepted now.
        free_pieces: Number of free KV cache blocks.
        waiting: Number of waiting reservations.
        draining: Whether the upstream accepts no new requests.
        cold: Whether the upstream is in cold start.
        prefixes: Digests of the prompt prefixes in the KV cache.
        slots: Maximum number of concurrent requests; 0 if unknown.
        decode_ms: Milliseconds between two output tokens; 0 if unknown.
    """

    tag: ClassVar[int] = 2
    upstream: str
    kind: str
    serves: str
    free_slots: int
    free_pieces: int
    waiting: int
    draining: bool
    cold: bool
    prefixes: list[bytes]
    slots: int = 0
    decode_ms: int = 0


@attrs.frozen
class Reserve(Message):
    """Requests a reservation at an agent's upstream.

    With `charged`, the tokens of the request are already reserved for an
    earlier attempt.
    """

    tag: ClassVar[int] = 3
    request_id: str
    attempt: int
    client_account: str
    purpose: str
    model: str
    prompt_tokens: int
    max_tokens: int
    prefixes: list[bytes]
    priority: int
    remaining_ms: int
    request_digest: bytes
    cost: int
    weight: int = 1
    key_digest: bytes = b''
    alone: bool = False
    charged: bool = False


@attrs.frozen
class Reserved(Message):
    """Confirms a reservation at an upstream."""

    tag: ClassVar[int] = 4
    request_id: str
    attempt: int
    cached_tokens: int


@attrs.frozen
class Prefill(Message):
    """Starts the prefill of a reserved request."""

    tag: ClassVar[int] = 5
    request_id: str
    attempt: int
    model: str
    prompt: str
    remaining_ms: int


@attrs.frozen
class Prefilled(Message):
    """Reports the source of the KV cache of a finished prefill."""

    tag: ClassVar[int] = 6
    request_id: str
    attempt: int
    handle: str
    source_url: str
    prompt_tokens: int
    cached_tokens: int


@attrs.frozen
class Decode(Message):
    """Starts the decode of a reserved request at a token index.

    With a prompt, the decode upstream also runs the prefill. For a request
    with an idempotency key, `emitted` is the text before the first index and
    `counted_prompt` the number of prompt tokens that an engine counted; the
    agent needs both to store the whole response.
    """

    tag: ClassVar[int] = 7
    request_id: str
    attempt: int
    handle: str
    source_url: str
    first_index: int
    max_tokens: int
    priority: int
    remaining_ms: int
    prompt: str = ''
    emitted: bytes = b''
    counted_prompt: int = 0


@attrs.frozen
class Tokens(Message):
    """Transfers a batch of generated tokens."""

    tag: ClassVar[int] = 8
    request_id: str
    attempt: int
    first_index: int
    count: int
    text: bytes


@attrs.frozen
class Finished(Message):
    """Ends the token stream of a request."""

    tag: ClassVar[int] = 9
    request_id: str
    attempt: int
    next_index: int
    reason: str


@attrs.frozen
class Call(Message):
    """Sends one request to a plain service."""

    tag: ClassVar[int] = 10
    request_id: str
    attempt: int
    client_account: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    idempotent: bool
    cost: int
    remaining_ms: int
    key_digest: bytes = b''
    request_digest: bytes = b''
    alone: bool = False


@attrs.frozen
class AnswerStart(Message):
    """Transfers the status and headers of a plain service's response."""

    tag: ClassVar[int] = 11
    request_id: str
    attempt: int
    status: int
    headers: list[list[str]]


@attrs.frozen
class AnswerBody(Message):
    """Transfers a part of the body of a plain service's response."""

    tag: ClassVar[int] = 12
    request_id: str
    attempt: int
    first_byte: int
    chunk: bytes
    last: bool


@attrs.frozen
class Cancel(Message):
    """Cancels a request at an agent, which frees its memory.

    With `keep`, a run with an idempotency key continues for its grace period,
    because the caller may repeat the request. With `final`, no other attempt
    follows, and unused tokens are refunded at once.
    """

    tag: ClassVar[int] = 13
    request_id: str
    attempt: int
    keep: bool = False
    final: bool = False


@attrs.frozen
class Failed(Message):
    """Reports that an attempt failed and whether the upstream ran it."""

    tag: ClassVar[int] = 14
    request_id: str
    attempt: int
    code: str
    sentence: str
    outcome: str
    retry_ms: int
    crashed_upstream: bool = False


@attrs.frozen
class TokenRequest(Message):
    """Requests tokens from the holder of a client account's share.

    The holder may grant fewer tokens, but at least `minimum`; with the default
    of 0, which older senders use, it grants all tokens or none.
    """

    tag: ClassVar[int] = 15
    draw_id: str
    client_account: str
    share: int
    tokens: int
    remaining_ms: int
    minimum: int = 0


@attrs.frozen
class TokenGrant(Message):
    """Grants tokens from a share."""

    tag: ClassVar[int] = 16
    draw_id: str
    client_account: str
    share: int
    tokens: int


@attrs.frozen
class TokenRefusal(Message):
    """Rejects a token request and reports when a retry may succeed.

    It repeats the `minimum` of the request, so that a late rejection is not
    mistaken for the reply to a newer request.
    """

    tag: ClassVar[int] = 17
    draw_id: str
    client_account: str
    share: int
    code: str
    retry_ms: int
    available: int = 0
    minimum: int = 0


@attrs.frozen
class Settle(Message):
    """Reports how many tokens of a grant were used."""

    tag: ClassVar[int] = 18
    draw_id: str
    client_account: str
    share: int
    used: int


@attrs.frozen
class Claim(Message):
    """Requests that a committer records a claim for an idempotency key.

    `replaces` is the identifier of the request whose claim in memory is
    replaced, because it moves to another agent or its agent has left.
    """

    tag: ClassVar[int] = 19
    request_id: str
    client_account: str
    key_digest: bytes
    request_digest: bytes
    durable: bool
    agent: str
    remaining_ms: int
    replaces: str = ''


@attrs.frozen
class Claimed(Message):
    """Confirms that the claim is the first for its key."""

    tag: ClassVar[int] = 20
    request_id: str


@attrs.frozen
class ClaimTaken(Message):
    """Reports that another request holds the claim for the key."""

    tag: ClassVar[int] = 21
    request_id: str
    holder_request_id: str
    holder_agent: str
    same_body: bool


@attrs.frozen
class Resume(Message):
    """Requests the rest of a stored or running response from an agent."""

    tag: ClassVar[int] = 22
    request_id: str
    attempt: int
    client_account: str
    key_digest: bytes
    next_index: int
    remaining_ms: int


@attrs.frozen
class CrashReport(Message):
    """Reports the digests of the requests that ran when an upstream crashed.

    It is sent before the failures of these requests, so that an entry can
    attribute the crash before it retries any of them.
    """

    tag: ClassVar[int] = 25
    crash: str
    digests: list[bytes]


@attrs.frozen
class ConfigurationRequest(Message):
    """Requests a peer's configuration if it is newer."""

    tag: ClassVar[int] = 23
    offset: int


@attrs.frozen
class ConfigurationCopy(Message):
    """Transfers a peer's configuration state and its log offset."""

    tag: ClassVar[int] = 24
    offset: int
    state: bytes


@attrs.frozen
class ReleaseClaim(Message):
    """Releases the claim of a request that will never be dispatched."""

    tag: ClassVar[int] = 30
    request_id: str
    client_account: str
    key_digest: bytes
