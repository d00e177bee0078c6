"""Messages between the system's own processes.

Field order is the wire format: new fields are added at the end with a
default, and tags are never reused.
"""

from __future__ import annotations

from typing import ClassVar

import attrs


@attrs.frozen
class Message:
    """Base of all messages on a link."""

    tag: ClassVar[int] = 0


@attrs.frozen
class Heartbeat(Message):
    """Shows that the sender is alive and which log offset it runs at.

    With `places_told` set to 1 it also says that the sender has told a new
    coordinator of all places that it uses.
    """

    tag: ClassVar[int] = 1
    offset: int
    clock_ms: int
    clock_counter: int
    places_told: int = 0


@attrs.frozen
class LoadReport(Message):
    """What an agent's upstream can take; sent with each heartbeat."""

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
    """Asks an agent for a place at its upstream.

    With `charged`, an earlier attempt of the request had its tokens drawn.
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
    """Confirms a place at an upstream."""

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
    """Says where the KV cache of a finished prefill can be fetched."""

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

    With a prompt, the decode upstream computes the prefill itself. For a
    request with an idempotency key, `emitted` is the text before the first
    index and `counted_prompt` the prompt's tokens as an engine counted
    them, so that the agent stores the whole response.
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
    """Carries a batch of generated tokens."""

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
    """Carries the status and headers of a plain service's answer."""

    tag: ClassVar[int] = 11
    request_id: str
    attempt: int
    status: int
    headers: list[list[str]]


@attrs.frozen
class AnswerBody(Message):
    """Carries a part of a plain service's answer."""

    tag: ClassVar[int] = 12
    request_id: str
    attempt: int
    first_byte: int
    chunk: bytes
    last: bool


@attrs.frozen
class Cancel(Message):
    """Ends a request at an agent; its memory is freed.

    With `keep`, running work with an idempotency key goes on for its grace
    period, since its caller may come again. With `final`, no other attempt
    follows, so that unused tokens go back at once.
    """

    tag: ClassVar[int] = 13
    request_id: str
    attempt: int
    keep: bool = False
    final: bool = False


@attrs.frozen
class Failed(Message):
    """Says that an attempt failed and whether its work ran."""

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
    """Asks the holder of an account's share for tokens.

    A part of the tokens is granted only down to `minimum`; with the default
    of an older sender the holder grants all or nothing.
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
    """Grants tokens out of a share."""

    tag: ClassVar[int] = 16
    draw_id: str
    client_account: str
    share: int
    tokens: int


@attrs.frozen
class TokenRefusal(Message):
    """Refuses a draw and says when trying again may help.

    It returns the draw's `minimum`, so that a late refusal is not taken for
    the reply to a newer draw.
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
    """Reports how many tokens of a draw were used."""

    tag: ClassVar[int] = 18
    draw_id: str
    client_account: str
    share: int
    used: int


@attrs.frozen
class Claim(Message):
    """Asks a committer to record a claim for an idempotency key.

    `replaces` names the request whose claim in memory this one takes over,
    because its work moves to another agent or its agent is gone.
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
    """Says that another request holds the claim for the key."""

    tag: ClassVar[int] = 21
    request_id: str
    holder_request_id: str
    holder_agent: str
    same_body: bool


@attrs.frozen
class Resume(Message):
    """Asks an agent for the rest of a kept or running answer."""

    tag: ClassVar[int] = 22
    request_id: str
    attempt: int
    client_account: str
    key_digest: bytes
    next_index: int
    remaining_ms: int


@attrs.frozen
class CrashReport(Message):
    """Names the requests that ran when an upstream crashed.

    It is sent before the failures of these requests, so that an entry
    knows the suspects before it tries any of them again.
    """

    tag: ClassVar[int] = 25
    crash: str
    digests: list[bytes]


@attrs.frozen
class ConfigurationRequest(Message):
    """Asks a peer for its configuration if it is newer."""

    tag: ClassVar[int] = 23
    offset: int


@attrs.frozen
class ConfigurationCopy(Message):
    """Carries a peer's reduced configuration and its offset."""

    tag: ClassVar[int] = 24
    offset: int
    state: bytes


@attrs.frozen
class ReleaseClaim(Message):
    """Frees the claim of a request that never will be dispatched."""

    tag: ClassVar[int] = 30
    request_id: str
    client_account: str
    key_digest: bytes
