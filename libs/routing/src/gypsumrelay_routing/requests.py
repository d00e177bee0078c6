"""What a placement is asked for, what it answers, and its settings."""

from __future__ import annotations

import math

import attrs

from gypsumrelay_routing.views import Kind


@attrs.frozen
class PlacementSettings:
    """Settings of the placement.

    Attributes:
        choices: Random candidates per pool; two or more.
        affinity_choices: Candidates that hold a prefix of the prompt.
        widened_choices: Candidates that are looked at before a request is
            rejected.
        block_tokens: Tokens per cache block.
        prefill_tokens_per_second: Speed of a prefill.
        mean_prompt_tokens: Expected uncached prompt of the requests ahead.
        mean_output_tokens: Expected output of the requests ahead.
        decode_ms: Time between output tokens where none is reported.
        service_seconds: Expected duration of a plain service call.
        kv_bytes_per_token: Size of the KV cache that a transfer moves.
        local_prefill_tokens: Longest uncached suffix that is prefilled on
            the decode upstream itself.
        zone_seconds: Cost of each step between zones.
        load_seconds: Cost of a fully used upstream over an idle one.
        cold_seconds: Cost of an upstream in cold start.
        cold_limit: Requests that an upstream in cold start runs together.
        ramp_seconds: Time after a cold start over which the share of its
            slots that is used grows to all.
        double_queue: Whether a request that has to wait may wait at two
            upstreams.
        min_retry_seconds: Earliest retry after a rejection.
        prefill_hold_seconds: Measured time that a request holds a place at
            a prefill upstream, 0 where none is known.
        decode_hold_seconds: The same at a decode upstream.
        wait_tolerance: Expected waits may exceed the remaining time by this
            factor. Above one, a request queues at an agent whose fair queue
            may serve it before those that wait longer.
    """

    choices: int = 2
    affinity_choices: int = 1
    widened_choices: int = 64
    block_tokens: int = 2000
    prefill_tokens_per_second: float = 20_000
    mean_prompt_tokens: int = 2000
    mean_output_tokens: int = 256
    decode_ms: int = 25
    service_seconds: float = 0.05
    kv_bytes_per_token: int = 160_000
    local_prefill_tokens: int = 256
    zone_seconds: float = 0.0015
    load_seconds: float = 0.05
    cold_seconds: float = 1
    cold_limit: int = 1
    ramp_seconds: float = 10
    double_queue: bool = True
    min_retry_seconds: float = 0.2
    prefill_hold_seconds: float = 0
    decode_hold_seconds: float = 0
    wait_tolerance: float = 1


@attrs.frozen
class PlacementRequest:
    """A request that needs a place.

    Attributes:
        request_id: Unique among the entry's requests and attempts.
        serves: The model or service.
        deadline: Instant by which the first token or byte must be out.
        service: Whether it is a plain service call.
        prompt_tokens: Length of the prompt.
        max_tokens: Longest output.
        prefixes: Digests of the prompt's prefixes, one per full block,
            shortest first; each covers all tokens up to its end.
        excluded: Upstreams that failed this request before.
    """

    request_id: str
    serves: str
    deadline: float
    service: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefixes: tuple[bytes, ...] = ()
    excluded: frozenset[str] = frozenset()


@attrs.frozen
class Placement:
    """Where a request should run.

    Attributes:
        upstream: The decode or service upstream.
        prefill: The prefill upstream; None for a plain service call and
            where the decode upstream prefills the short suffix itself.
        ready_at: Expected instant of the first token or byte.
        cached_tokens: Prompt tokens that the prefilling upstream is
            expected to hold.
        blocks: Cache blocks needed at the decode upstream.
        prefill_blocks: Cache blocks needed at the prefill upstream.
        transfer_bytes: Size of the KV cache to move, 0 for none.
        alternate: A second place to queue at, where the first has to wait.
        work_seconds: Expected time from the grant to the first token.
    """

    upstream: str
    prefill: str | None
    ready_at: float
    cached_tokens: int = 0
    blocks: int = 0
    prefill_blocks: int = 0
    transfer_bytes: int = 0
    alternate: Placement | None = None
    work_seconds: float = 0

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Return every upstream that the placement names."""
        own = (
            (self.upstream,)
            if self.prefill is None
            else (
                self.upstream,
                self.prefill,
            )
        )
        if self.alternate is None:
            return own
        return tuple(dict.fromkeys(own + self.alternate.upstreams))


def blocks_for(tokens: int, settings: PlacementSettings) -> int:
    """Return the cache blocks that hold some tokens."""
    return math.ceil(tokens / settings.block_tokens)


def blocks_needed(
    request: PlacementRequest,
    kind: Kind,
    settings: PlacementSettings,
) -> int:
    """Return the cache blocks that a request needs at an upstream."""
    if kind == Kind.service:
        return 0
    tokens = request.prompt_tokens
    if kind == Kind.decode:
        tokens += request.max_tokens
    return blocks_for(tokens, settings)
