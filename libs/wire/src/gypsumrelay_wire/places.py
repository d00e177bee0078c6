"""Messages between relays, under the same rules as the others."""

from __future__ import annotations

from typing import ClassVar, Final

import attrs

from gypsumrelay_wire.messages import Message

# Milliseconds that a request may wait where its sender's version doesn't say;
# shorter than the patience of any caller.
USUAL_WAIT_MS: Final = 2000


@attrs.frozen
class PlaceRequest(Message):
    """Asks the coordinator for a place at an upstream of a service.

    With `read`, the prompt's KV cache exists already; with `reread`, it was
    read in vain; with `resumed`, a stream goes on. `wait_ms` is how long the
    request may wait.
    """

    tag: ClassVar[int] = 40
    request_id: str
    attempt: int
    availability_zone: str
    service: str
    client_account: str
    cost_tokens: int
    priority: int
    aim_ms: int
    remaining_ms: int
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    read: bool
    excluded: list[str]
    digest: bytes
    wait_ms: int = USUAL_WAIT_MS
    reread: bool = False
    resumed: bool = False


@attrs.frozen
class PlaceGranted(Message):
    """Names the upstreams of an attempt; an empty prefill means none."""

    tag: ClassVar[int] = 41
    request_id: str
    attempt: int
    upstream: str
    address: str
    prefill: str
    prefill_address: str
    load: int
    waited_ms: int
    list_position: int = -1


@attrs.frozen
class PlaceRefused(Message):
    """Says why an attempt gets no place."""

    tag: ClassVar[int] = 42
    request_id: str
    attempt: int
    code: str
    sentence: str
    retry_ms: int


@attrs.frozen
class PromptRead(Message):
    """Says how the prefill of an attempt ended."""

    tag: ClassVar[int] = 43
    request_id: str
    attempt: int
    ending: str


@attrs.frozen
class PlaceEnded(Message):
    """Says how the use of a place ended."""

    tag: ClassVar[int] = 44
    request_id: str
    attempt: int
    ending: str


@attrs.frozen
class PlaceHeld(Message):
    """Tells a new coordinator of a place that is in use."""

    tag: ClassVar[int] = 45
    request_id: str
    attempt: int
    service: str
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    upstream: str
    digest: bytes


@attrs.frozen
class RecordsRequest(Message):
    """Asks a peer for the operators' records if its copy is newer."""

    tag: ClassVar[int] = 46
    position: int


@attrs.frozen
class RecordsCopy(Message):
    """Carries a peer's copy of the operators' records."""

    tag: ClassVar[int] = 47
    position: int
    records: bytes


@attrs.frozen
class RepeatsUsed(Message):
    """Tells a new coordinator of repeats that an earlier one gave out."""

    tag: ClassVar[int] = 48
    service: str
    count: int
