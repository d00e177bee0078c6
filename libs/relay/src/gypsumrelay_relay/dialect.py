"""What a relay needs to know of the protocol of callers and upstreams."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
from gypsumrelay_dispatch import Phase
from gypsumrelay_errors import Failure


@attrs.frozen
class Call:
    """A request as an upstream gets it."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b''


@attrs.frozen
class CallerFacts:
    """What a request's headers say.

    Attributes:
        request_id: The caller's name for this attempt of its own.
        key: The API key; empty without one.
        wait_ms: How long the caller waits; None where it does not say.
        prompt_tokens: Tokens to read; 0 for plain requests.
        output_tokens: Most tokens to generate.
        expected_tokens: Tokens that the caller expects to be generated; 0
            where it does not say.
        last_event: Event after which a stream goes on; empty from the start.
    """

    request_id: str
    key: str
    wait_ms: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    last_event: str = ''

    @property
    def tokens(self) -> int:
        """Return the tokens that an account is charged, 0 if not given."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class Sending:
    """What a send to an upstream adds to the caller's request.

    Attributes:
        upstream: Name of the only upstream that may run it.
        client_account: Account that it runs for; empty on public routes.
        remaining_ms: Time until the answer is of no use.
        only_read: Whether the prompt is read and nothing is generated.
        cache_source: Where the KV cache of the read prompt is fetched;
            empty for none.
        last_event: Event after which a stream goes on.
    """

    upstream: str
    client_account: str
    remaining_ms: int
    only_read: bool = False
    cache_source: str = ''
    last_event: str = ''


@attrs.frozen
class ReplyFacts:
    """What an upstream's headers say.

    Attributes:
        request_id: Whose answer it is; empty where it does not say.
        signed: Whether it carries the upstream's signature.
        not_run: Whether the upstream states that it ran nothing.
    """

    request_id: str
    signed: bool
    not_run: bool


Headers = Iterable[tuple[str, str]]


@attrs.frozen
class Dialect:
    """The protocol of callers and upstreams.

    Attributes:
        read_caller: Reads a request's headers, given in WSGI form.
        upstream_headers: Returns the headers of a send.
        read_reply: Reads an answer's status and headers.
        caller_headers: Returns an answer's headers for the caller.
        read_cache_name: Reads the name of a KV cache from the answer to a
            prompt that was only read.
        cache_source: Joins an upstream's address and a cache's name.
        release_cache: Returns method and path that free a KV cache.
        phase_order: Returns the call that orders an upstream into a phase,
            from the upstream, the phase, the holder and the fencing token.
    """

    read_caller: Callable[[Mapping[str, Any]], CallerFacts | Failure]
    upstream_headers: Callable[[Mapping[str, Any], Sending], dict[str, str]]
    read_reply: Callable[[int, Mapping[str, str]], ReplyFacts]
    caller_headers: Callable[[Headers], list[tuple[str, str]]]
    read_cache_name: Callable[[bytes], str | Failure]
    cache_source: Callable[[str, str], str]
    release_cache: Callable[[str], tuple[str, str]]
    phase_order: Callable[[str, Phase, str, int], Call]
