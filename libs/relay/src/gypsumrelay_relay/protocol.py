"""Interface to the HTTP protocol of callers and upstreams."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
from gypsumrelay_dispatch import Phase
from gypsumrelay_errors import Failure


@attrs.frozen
class UpstreamRequest:
    """A request to an upstream."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b''


@attrs.frozen
class CallerHeaders:
    """Values of the headers of a caller's request.

    Attributes:
        request_id: The caller's id of the request.
        key: The API key; empty without one.
        wait_ms: Time in milliseconds until the caller's deadline; None if not
            stated.
        prompt_tokens: Length of the prompt in tokens; 0 for plain requests.
        output_tokens: Maximum number of tokens to generate.
        expected_tokens: Tokens that the caller expects to be generated; 0 if
            not stated.
        last_event: Id of the event after which a stream is resumed; empty to
            start at the beginning.
        parts: Ids of the prompt's parts that other requests may share, in
            order; without the last part, which is the request's own.
        resumes: Id of the caller's earlier request that brought the first
            event of the stream which this one goes on with; empty for none.
    """

    request_id: str
    key: str
    wait_ms: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    last_event: str = ''
    parts: tuple[str, ...] = ()
    resumes: str = ''

    @property
    def tokens(self) -> int:
        """Return the tokens charged to the client account, 0 if not stated."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class AddedHeaders:
    """Values of the headers that the relay adds for an upstream.

    Attributes:
        upstream: Name of the only upstream that may run the request.
        client_account: Client account of the request; empty on public routes.
        remaining_ms: Time in milliseconds until the caller's deadline.
        prefill_only: Whether to run the prefill only.
        cache_source: Where to fetch the KV cache of a prefill; empty for none.
        last_event: Id of the event after which a stream is resumed.
        urgency: Urgency that the upstream admits and preempts the request by,
            0 (first) to 9; -1 for the upstream's default.
    """

    upstream: str
    client_account: str
    remaining_ms: int
    prefill_only: bool = False
    cache_source: str = ''
    last_event: str = ''
    urgency: int = -1


@attrs.frozen
class ReplyHeaders:
    """Values of the headers of an upstream's answer.

    Attributes:
        request_id: Id of the answered request; empty if not stated.
        signed: Whether the answer has the upstream's signature.
        not_run: Whether the upstream states that it ran nothing.
        rate_limit: Requests per second that the upstream accepts from all
            instances together, as it states now; None if it states no limit,
            a failure if its statement is unreadable.
        leaving: Whether the upstream states that it is leaving.
        pause_seconds: Time in seconds for which the upstream, which turns the
            request away, wants no more from this instance; None if it states
            none, a failure if its statement is unreadable.
    """

    request_id: str
    signed: bool
    not_run: bool
    rate_limit: float | Failure | None = None
    leaving: bool = False
    pause_seconds: float | Failure | None = None


Headers = Iterable[tuple[str, str]]


@attrs.frozen
class HttpProtocol:
    """The HTTP protocol of callers and upstreams, as functions.

    Attributes:
        read_caller: Parses the headers of a request, given as a WSGI
            environment.
        upstream_headers: Returns the headers of a request to an upstream.
        read_reply: Parses status and headers of an answer.
        caller_headers: Returns the headers of an answer to the caller.
        read_cache_handle: Parses the handle of the KV cache in the answer to a
            prefill.
        cache_source: Joins an upstream's address and a handle of a KV cache.
        release_cache: Returns method and path that free a KV cache.
        phase_change_request: Returns the request that orders an upstream to
            switch its phase, from upstream, phase, lease holder and fencing
            token.
        refusals: Statuses that tell a caller that its request has not run and
            never will.
    """

    read_caller: Callable[[Mapping[str, Any]], CallerHeaders | Failure]
    upstream_headers: Callable[
        [Mapping[str, Any], AddedHeaders], dict[str, str]
    ]
    read_reply: Callable[[int, Mapping[str, str]], ReplyHeaders]
    caller_headers: Callable[[Headers], list[tuple[str, str]]]
    read_cache_handle: Callable[[bytes], str | Failure]
    cache_source: Callable[[str, str], str]
    release_cache: Callable[[str], tuple[str, str]]
    phase_change_request: Callable[[str, Phase, str, int], UpstreamRequest]
    refusals: frozenset[int]
