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
from gypsumrelay_routing.sampling import choose_some, sample, usable_for
from gypsumrelay_routing.views import Kind, View

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
class _Question:
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

    def from_entry(self, zone: str) -> float:
        return self.zone_seconds(self.view.availability_zone, zone)

    def zone_seconds(self, one: str, other: str) -> float:
        return 0 if one == other else self.settings.zone_seconds


def place(
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
    question = _Question(view, request, rng, settings, now)
    options = _options(question, widened=False)
    in_time = _in_time(question, options)
    if not in_time:
        options = _options(question, widened=True)
        in_time = _in_time(question, options)
    if not in_time:
        return _failure(question, options)
    best = min(in_time, key=_score)
    alternate = _alternate(question, best, in_time)
    return _placement(question, best, alternate)


def commit(
    view: View,
    placement: Placement,
    request: PlacementRequest,
    now: float,
) -> None:
    """Count a placement in the view until reports include it.

    An upstream of both the placement and its alternate is counted once.
    """
    places = (placement, placement.alternate)
    for chosen in reversed([place for place in places if place]):
        name = request.request_id
        view.commit(name, chosen.upstream, chosen.blocks, now)
        if chosen.prefill is not None:
            view.commit(name, chosen.prefill, chosen.prefill_blocks, now)
    if placement.transfer_bytes:
        view.upstreams[placement.upstream].link.admit(
            request.request_id,
            placement.transfer_bytes,
            request.deadline,
            now,
        )


def _options(question: _Question, widened: bool) -> list[Option]:
    if question.request.service:
        found = _candidates(question, Kind.service, widened)
        return [_call(question, candidate) for candidate in found]
    decodes = _candidates(question, Kind.decode, widened)
    prefills = _candidates(question, Kind.prefill, widened) if decodes else ()
    options = [
        _remote(question, decode, prefill)
        for decode in decodes
        for prefill in prefills
    ]
    options.extend(
        _local(question, decode)
        for decode in decodes
        if _suffix_is_short(question, decode)
    )
    return options


def _candidates(
    question: _Question,
    kind: Kind,
    widened: bool,
) -> list[Estimate]:
    pool = question.view.pool(kind, question.request.serves)
    usable = usable_for(question.view, question.request, question.now)
    names = (
        choose_some(
            pool.upstreams,
            question.settings.widened_choices,
            question.rng,
            usable,
        )
        if widened
        else sample(
            pool,
            question.request,
            question.rng,
            question.settings,
            usable,
        )
    )
    found = [question.estimate(name) for name in names]
    if len(found) > _PAIRED_CANDIDATES:
        found.sort(key=lambda one: _alone(question, one))
    return found[:_PAIRED_CANDIDATES]


def _alone(question: _Question, candidate: Estimate) -> float:
    if candidate.known.report.kind == Kind.prefill:
        own_work = _prefill_seconds(question, candidate)
        return candidate.wait + candidate.load + own_work
    link_wait = candidate.known.link.seconds_for(0)
    return max(candidate.wait, link_wait) + candidate.load


def _call(question: _Question, candidate: Estimate) -> Option:
    zone = candidate.known.report.availability_zone
    return Option(
        candidate,
        None,
        candidate.wait,
        question.settings.service_seconds + question.from_entry(zone),
        candidate.load,
    )


def _remote(
    question: _Question,
    decode: Estimate,
    prefill: Estimate,
) -> Option:
    size = question.request.prompt_tokens * question.settings.kv_bytes_per_token
    decode_zone = decode.known.report.availability_zone
    prefill_zone = prefill.known.report.availability_zone
    work = (
        _prefill_seconds(question, prefill)
        + size / decode.known.link.settings.bytes_per_second
        + decode_seconds(decode.known, question.settings)
        + question.from_entry(prefill_zone)
        + question.zone_seconds(prefill_zone, decode_zone)
        + question.from_entry(decode_zone)
    )
    # Both upstreams and the link are reserved in parallel before the prefill
    # starts, so the longest wait counts.
    wait = max(decode.wait, prefill.wait, decode.known.link.seconds_for(0))
    return Option(
        decode,
        prefill,
        wait,
        work,
        decode.load + prefill.load,
        prefill.cached_tokens,
        size,
    )


def _local(question: _Question, decode: Estimate) -> Option:
    zone = decode.known.report.availability_zone
    work = (
        _prefill_seconds(question, decode)
        + decode_seconds(decode.known, question.settings)
        + question.from_entry(zone)
    )
    return Option(
        decode,
        None,
        decode.wait,
        work,
        decode.load,
        decode.cached_tokens,
    )


def _suffix_is_short(question: _Question, decode: Estimate) -> bool:
    uncached = question.request.prompt_tokens - decode.cached_tokens
    return uncached <= question.settings.local_prefill_tokens


def _prefill_seconds(question: _Question, candidate: Estimate) -> float:
    uncached = question.request.prompt_tokens - candidate.cached_tokens
    return uncached / question.settings.prefill_tokens_per_second


def _in_time(question: _Question, options: list[Option]) -> list[Option]:
    remaining = question.request.deadline - question.now
    tolerance = question.settings.wait_tolerance
    return [
        option
        for option in options
        if option.work + option.wait / tolerance <= remaining
    ]


def _score(option: Option) -> float:
    return option.score


def _alternate(
    question: _Question,
    best: Option,
    in_time: list[Option],
) -> Option | None:
    if not best.wait or not question.settings.double_queue:
        return None
    others = [
        option for option in in_time if option.decode.name != best.decode.name
    ]
    return min(others, key=_score, default=None)


def _placement(
    question: _Question,
    option: Option,
    alternate: Option | None,
) -> Placement:
    prefill = option.prefill
    return Placement(
        option.decode.name,
        None if prefill is None else prefill.name,
        question.now + option.seconds,
        option.cached_tokens,
        option.decode.blocks,
        0 if prefill is None else prefill.blocks,
        option.transfer_bytes,
        None if alternate is None else _placement(question, alternate, None),
        option.work,
    )


def _failure(question: _Question, options: list[Option]) -> Failure:
    retry_at = question.now + question.settings.min_retry_seconds
    if not options:
        return NoUpstream(_absence(question), retry_at=retry_at)
    quickest = min(options, key=_seconds)
    remaining = question.request.deadline - question.now
    if min(option.work for option in options) > remaining:
        sentence = 'The latency target is too short even without a wait.'
        return DeadlineUnreachable(sentence, retry_at=retry_at)
    # The request may fit once the queues have shrunk by the excess wait.
    excess = quickest.seconds - remaining
    sentence = 'Every upstream looked at is busy beyond the latency target.'
    return Overloaded(sentence, retry_at=max(retry_at, question.now + excess))


def _seconds(option: Option) -> float:
    return option.seconds


def _absence(question: _Question) -> str:
    if question.request.excluded:
        return 'Every live upstream for the request has failed it or is gone.'
    return 'No live upstream serves the request.'
