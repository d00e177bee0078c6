"""Request, result and settings of a placement."""

from __future__ import annotations

import math

import attrs

from gypsumrelay_routing.views import UpstreamKind


@attrs.frozen
class PlacementSettings:
    """Settings of the placement.

    Attributes:
        choices: Random candidates per pool, at least 2.
        affinity_choices: Further candidates per pool that cache a prefix of
            the prompt.
        widened_choices: Candidates per pool that are examined before a
            request is rejected.
        block_tokens: Tokens per KV cache block.
        prefill_tokens_per_second: Prefill throughput of an upstream.
        mean_prompt_tokens: Expected uncached prompt tokens of each request
            that is queued ahead.
        mean_output_tokens: Expected output tokens of each request that is
            queued ahead.
        decode_ms: Milliseconds between output tokens, used where the
            upstream reports none.
        service_seconds: Expected duration of a plain service call.
        kv_bytes_per_token: Bytes of KV cache per token that a transfer
            moves.
        local_prefill_tokens: Longest uncached suffix of a prompt that the
            decode upstream prefills itself.
        zone_seconds: Latency of each hop between availability zones.
        load_seconds: Cost of a fully used upstream compared with an idle
            one.
        cold_seconds: Cost of an upstream in cold start.
        cold_limit: Concurrent requests of an upstream in cold start.
        ramp_seconds: Time after a cold start in which the usable share of
            the slots grows to all of them.
        double_queue: Whether a request that has to wait may queue at two
            upstreams.
        min_retry_seconds: Shortest time from a rejection to a retry.
        prefill_hold_seconds: Measured time that a request occupies a slot
            of a prefill upstream, 0 if unknown.
        decode_hold_seconds: Measured time that a request occupies a slot of
            a decode upstream, 0 if unknown.
        wait_tolerance: Factor by which an expected wait may exceed the
            remaining time. Above 1, a request queues at an agent whose fair
            queue may serve it before requests that have waited longer.
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
    """A request that is to be placed on upstreams.

    Attributes:
        request_id: Identifier, unique among the entry's requests and
            attempts.
        serves: The requested model or service.
        deadline: Time by which the first token or byte must be sent.
        service: Whether it is a plain service call.
        prompt_tokens: Length of the prompt in tokens.
        max_tokens: Maximum length of the output in tokens.
        prefixes: Digests of the prompt's prefixes, one per full cache block,
            shortest first; each covers all tokens up to its end.
        excluded: Upstreams on which an attempt of this request failed.
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
    """The upstreams chosen for a request.

    Attributes:
        upstream: The decode or service upstream.
        prefill: The prefill upstream; None for a plain service call and
            where the decode upstream prefills a short uncached suffix.
        ready_at: Expected time of the first token or byte.
        cached_tokens: Prompt tokens that the prefilling upstream is
            expected to have cached.
        blocks: Cache blocks needed at the decode upstream.
        prefill_blocks: Cache blocks needed at the prefill upstream.
        transfer_bytes: Size of the KV cache to transfer, 0 for none.
        alternate: A second placement to queue at where the first one has
            to wait.
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
        """Return all upstreams of the placement and of its alternate."""
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
    """Return the number of cache blocks that a number of tokens needs."""
    return math.ceil(tokens / settings.block_tokens)


def blocks_needed(
    request: PlacementRequest,
    kind: UpstreamKind,
    settings: PlacementSettings,
) -> int:
    """Return the cache blocks that a request needs at this kind of upstream."""
    if kind == UpstreamKind.service:
        return 0
    tokens = request.prompt_tokens
    if kind == UpstreamKind.decode:
        tokens += request.max_tokens
    return blocks_for(tokens, settings)
