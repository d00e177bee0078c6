"""What is known of the performance of one upstream."""

from __future__ import annotations

from typing import Final

import attrs

from gypsumrelay_performance.curves import Curve, observe, restore, time_at

# Part of the past prefills that still counts after another one. Seven prefills
# have two thirds of the weight, which are done in about a second.
PREFILL_RETENTION: Final = 0.86


# Seconds within which decode times with fewer and more streams are compared. A
# stream takes seconds, over which short slow moments average out.
DECODE_COMPARABLE_SECONDS: Final = 4.0


def new_decode_curve() -> Curve:
    """Return an empty curve of decode times."""
    return Curve(comparable_seconds=DECODE_COMPARABLE_SECONDS)


@attrs.define
class Performance:
    """Performance of one upstream.

    Attributes:
        decode: Milliseconds of a token, by the number of streams.
        service: Seconds of a plain request, by the number of requests.
        prefill_tokens: Prompt tokens of the recent prefills, faded.
        prefill_ms: Time in milliseconds of these prefills, faded likewise.
        limit: Limit on concurrent requests; infinite without one.
        adjusted_at: Instant of the last adjustment of the limit.
        peak: Recent maximum of concurrent requests before a slowdown.
    """

    decode: Curve = attrs.field(factory=new_decode_curve)
    service: Curve = attrs.field(factory=Curve)
    prefill_tokens: float = 0
    prefill_ms: float = 0
    limit: float = float('inf')
    adjusted_at: float = 0
    peak: float = 1


@attrs.frozen
class Summary:
    """What one instance has measured of an upstream.

    Attributes:
        decode_ms: Milliseconds of a token; 0 where unknown.
        service_seconds: Seconds of a plain request; 0 where unknown.
        prefill_ms: Milliseconds of a prompt token; 0 where unknown.
    """

    decode_ms: float = 0
    service_seconds: float = 0
    prefill_ms: float = 0


def observe_decode(
    performance: Performance, running: float, ms_per_token: float, now: float
) -> None:
    """Add the measured decode time of a stream.

    Args:
        performance: The upstream.
        running: Mean number of streams at the upstream, with this one.
        ms_per_token: Time of a token in milliseconds.
        now: The present instant.
    """
    observe(performance.decode, running, ms_per_token, now)


def observe_service(
    performance: Performance, running: float, seconds: float, now: float
) -> None:
    """Add the measured time of a plain request.

    Args:
        performance: The upstream.
        running: Mean number of requests at the upstream, with this one.
        seconds: Time from the send to the answer.
        now: The present instant.
    """
    observe(performance.service, running, seconds, now)


def observe_prefill(
    performance: Performance, tokens: int, milliseconds: float, now: float
) -> None:
    """Add a measured prefill.

    Sums rather than ratios are averaged, so that short prompts, whose fixed
    costs dominate, have little weight.

    Args:
        performance: The upstream.
        tokens: Length of the prompt.
        milliseconds: Time for which the upstream worked on it, without the
            prefills before it.
        now: The present instant; unused, since prefills are frequent.
    """
    if tokens <= 0 or milliseconds < 0:
        return
    performance.prefill_tokens *= PREFILL_RETENTION
    performance.prefill_ms *= PREFILL_RETENTION
    performance.prefill_tokens += tokens
    performance.prefill_ms += milliseconds


def decode_pace_ms(performance: Performance, running: float) -> float:
    """Return the milliseconds of a token beside others; 0 where unknown."""
    return time_at(performance.decode, running)


def service_seconds(performance: Performance, running: float) -> float:
    """Return the seconds of a plain request; 0 where unknown."""
    return time_at(performance.service, running)


def prefill_ms(performance: Performance, tokens: float) -> float:
    """Return the milliseconds of a prefill; 0 where unknown."""
    if not performance.prefill_tokens:
        return 0
    return tokens * performance.prefill_ms / performance.prefill_tokens


def summarize(performance: Performance) -> Summary:
    """Return what another instance may start from."""
    return Summary(
        performance.decode.level,
        performance.service.level,
        prefill_ms(performance, 1),
    )


def restore_summary(
    performance: Performance, summary: Summary, samples: int
) -> None:
    """Add what another instance has measured.

    Measurements of this instance have precedence.

    Args:
        performance: The upstream.
        summary: The other instance's measurements.
        samples: Number of measurements that these rest on, as their weight.
    """
    restore(performance.decode, summary.decode_ms, samples)
    restore(performance.service, summary.service_seconds, samples)
    if summary.prefill_ms > 0 and not performance.prefill_tokens:
        performance.prefill_tokens = 1
        performance.prefill_ms = summary.prefill_ms
