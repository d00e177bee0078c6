"""Joint choice of the prefill and decode upstreams of a request."""

from __future__ import annotations

from random import Random
from typing import Final

import attrs
from gypsumrelay_errors import (
    DeadlineUnreachable,
    Failure,
    NoUpstream,
    Overloaded,
)

from gypsumrelay_routing.estimates import (
    Estimate,
    decode_seconds,
    estimate,
)
from gypsumrelay_routing.requests import (
    Placement,
    PlacementRequest,
    PlacementSettings,
)
from gypsumrelay_routing.sampling import (
    sample_candidates,
    sample_names,
    usable_filter,
)
from gypsumrelay_routing.views import UpstreamKind, View

# Limits the prefill and decode pairs that are compared for a request.
_PAIRED_CANDIDATES: Final = 4


@attrs.frozen
class Option:
    """A candidate placement with its estimated times.

    Attributes:
        decode: The decode or service upstream.
        prefill: The prefill upstream, None if the request needs none.
        wait: Seconds until all reservations are granted.
        work: Seconds from the grants to the first token or byte.
        penalty: Cost in seconds that does not delay this request, such as
            the load of the upstreams.
        cached_tokens: Prompt tokens that need no prefill.
        transfer_bytes: Size of the KV cache to transfer.
    """

    decode: Estimate
    prefill: Estimate | None
    wait: float
    work: float
    penalty: float
    cached_tokens: int = 0
    transfer_bytes: int = 0

    @property
    def seconds(self) -> float:
        """Return the expected time to the first token or byte."""
        return self.wait + self.work

    @property
    def score(self) -> float:
        """Return the cost by which options are compared."""
        return self.wait + self.work + self.penalty


@attrs.frozen
class _PlacementContext:
    view: View
    request: PlacementRequest
    rng: Random
    settings: PlacementSettings
    now: float

    def estimate(self, name: str) -> Estimate:
        return estimate(
            self.view,
            name,
            self.request,
            self.settings,
            self.now,
        )

    def seconds_from_entry(self, zone: str) -> float:
        return self.zone_seconds(self.view.availability_zone, zone)

    def zone_seconds(self, first: str, second: str) -> float:
        return 0 if first == second else self.settings.zone_seconds


def place_request(
    view: View,
    request: PlacementRequest,
    rng: Random,
    settings: PlacementSettings,
    now: float,
) -> Placement | Failure:
    """Return the best placement of a request, or a failure.

    Only a few sampled candidates are compared, so that entries with the
    same outdated reports do not all choose the same upstream. Before a
    request is rejected, a larger number of candidates is examined.
    """
    context = _PlacementContext(view, request, rng, settings, now)
    options = _options(context, widened=False)
    feasible = _feasible_options(context, options)
    if not feasible:
        options = _options(context, widened=True)
        feasible = _feasible_options(context, options)
    if not feasible:
        return _failure(context, options)
    best = min(feasible, key=_score)
    alternate = _alternate(context, best, feasible)
    return _placement(context, best, alternate)


def commit_placement(
    view: View,
    placement: Placement,
    request: PlacementRequest,
    now: float,
) -> None:
    """Count a placement in the view until reports include it.

    An upstream of both the placement and its alternate is counted once.
    """
    candidates = (placement, placement.alternate)
    for option in reversed(
        [candidate for candidate in candidates if candidate]
    ):
        name = request.request_id
        view.commit(name, option.upstream, option.blocks, now)
        if option.prefill is not None:
            view.commit(name, option.prefill, option.prefill_blocks, now)
    if placement.transfer_bytes:
        view.upstreams[placement.upstream].link.admit(
            request.request_id,
            placement.transfer_bytes,
            request.deadline,
            now,
        )


def _options(context: _PlacementContext, widened: bool) -> list[Option]:
    if context.request.service:
        candidates = _candidates(context, UpstreamKind.service, widened)
        return [_service_option(context, candidate) for candidate in candidates]
    decodes = _candidates(context, UpstreamKind.decode, widened)
    prefills = (
        _candidates(context, UpstreamKind.prefill, widened) if decodes else ()
    )
    options = [
        _disaggregated_option(context, decode, prefill)
        for decode in decodes
        for prefill in prefills
    ]
    options.extend(
        _colocated_option(context, decode)
        for decode in decodes
        if _suffix_is_short(context, decode)
    )
    return options


def _candidates(
    context: _PlacementContext,
    kind: UpstreamKind,
    widened: bool,
) -> list[Estimate]:
    pool = context.view.pool(kind, context.request.serves)
    is_usable = usable_filter(context.view, context.request, context.now)
    names = (
        sample_names(
            pool.upstreams,
            context.settings.widened_choices,
            context.rng,
            is_usable,
        )
        if widened
        else sample_candidates(
            pool,
            context.request,
            context.rng,
            context.settings,
            is_usable,
        )
    )
    candidates = [context.estimate(name) for name in names]
    if len(candidates) > _PAIRED_CANDIDATES:
        candidates.sort(
            key=lambda candidate: _unpaired_score(context, candidate)
        )
    return candidates[:_PAIRED_CANDIDATES]


def _unpaired_score(context: _PlacementContext, candidate: Estimate) -> float:
    if candidate.upstream_view.report.kind == UpstreamKind.prefill:
        own_work = _prefill_seconds(context, candidate)
        return candidate.wait + candidate.load + own_work
    link_wait = candidate.upstream_view.link.seconds_for(0)
    return max(candidate.wait, link_wait) + candidate.load


def _service_option(context: _PlacementContext, candidate: Estimate) -> Option:
    zone = candidate.upstream_view.report.availability_zone
    return Option(
        candidate,
        None,
        candidate.wait,
        context.settings.service_seconds + context.seconds_from_entry(zone),
        candidate.load,
    )


def _disaggregated_option(
    context: _PlacementContext,
    decode: Estimate,
    prefill: Estimate,
) -> Option:
    size = context.request.prompt_tokens * context.settings.kv_bytes_per_token
    decode_zone = decode.upstream_view.report.availability_zone
    prefill_zone = prefill.upstream_view.report.availability_zone
    work = (
        _prefill_seconds(context, prefill)
        + size / decode.upstream_view.link.settings.bytes_per_second
        + decode_seconds(decode.upstream_view, context.settings)
        + context.seconds_from_entry(prefill_zone)
        + context.zone_seconds(prefill_zone, decode_zone)
        + context.seconds_from_entry(decode_zone)
    )
    # Both upstreams and the link are reserved in parallel before the prefill
    # starts, so the longest wait counts.
    wait = max(
        decode.wait, prefill.wait, decode.upstream_view.link.seconds_for(0)
    )
    return Option(
        decode,
        prefill,
        wait,
        work,
        decode.load + prefill.load,
        prefill.cached_tokens,
        size,
    )


def _colocated_option(context: _PlacementContext, decode: Estimate) -> Option:
    zone = decode.upstream_view.report.availability_zone
    work = (
        _prefill_seconds(context, decode)
        + decode_seconds(decode.upstream_view, context.settings)
        + context.seconds_from_entry(zone)
    )
    return Option(
        decode,
        None,
        decode.wait,
        work,
        decode.load,
        decode.cached_tokens,
    )


def _suffix_is_short(context: _PlacementContext, decode: Estimate) -> bool:
    uncached = context.request.prompt_tokens - decode.cached_tokens
    return uncached <= context.settings.local_prefill_tokens


def _prefill_seconds(context: _PlacementContext, candidate: Estimate) -> float:
    uncached = context.request.prompt_tokens - candidate.cached_tokens
    return uncached / context.settings.prefill_tokens_per_second


def _feasible_options(
    context: _PlacementContext, options: list[Option]
) -> list[Option]:
    remaining = context.request.deadline - context.now
    tolerance = context.settings.wait_tolerance
    return [
        option
        for option in options
        if option.work + option.wait / tolerance <= remaining
    ]


def _score(option: Option) -> float:
    return option.score


def _alternate(
    context: _PlacementContext,
    best: Option,
    feasible: list[Option],
) -> Option | None:
    if not best.wait or not context.settings.double_queue:
        return None
    others = [
        option for option in feasible if option.decode.name != best.decode.name
    ]
    return min(others, key=_score, default=None)


def _placement(
    context: _PlacementContext,
    option: Option,
    alternate: Option | None,
) -> Placement:
    prefill = option.prefill
    return Placement(
        option.decode.name,
        None if prefill is None else prefill.name,
        context.now + option.seconds,
        option.cached_tokens,
        option.decode.blocks,
        0 if prefill is None else prefill.blocks,
        option.transfer_bytes,
        None if alternate is None else _placement(context, alternate, None),
        option.work,
    )


def _failure(context: _PlacementContext, options: list[Option]) -> Failure:
    retry_at = context.now + context.settings.min_retry_seconds
    if not options:
        return NoUpstream(_no_upstream_sentence(context), retry_at=retry_at)
    fastest = min(options, key=_seconds)
    remaining = context.request.deadline - context.now
    if min(option.work for option in options) > remaining:
        sentence = 'The latency target is too short even without a wait.'
        return DeadlineUnreachable(sentence, retry_at=retry_at)
    # The request may fit once the queues have shrunk by the excess wait.
    excess = fastest.seconds - remaining
    sentence = 'Every upstream looked at is busy beyond the latency target.'
    return Overloaded(sentence, retry_at=max(retry_at, context.now + excess))


def _seconds(option: Option) -> float:
    return option.seconds


def _no_upstream_sentence(context: _PlacementContext) -> str:
    if context.request.excluded:
        return 'Every live upstream for the request has failed it or is gone.'
    return 'No live upstream serves the request.'
