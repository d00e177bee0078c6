"""Recent requests of a service, from which the next ones are forecast."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

# Number of spans of a second whose requests are kept. In fewer, chance
# dominates at a few requests a second.
SPANS: Final = 10


@attrs.define
class Span:
    """Requests in one second.

    Attributes:
        second: Its instant, rounded down.
        requests: Requests that were granted for the first time.
        sends: Sends of all granted requests, to either version.
    """

    second: int
    requests: int = 0
    sends: int = 0


@attrs.define
class Traffic:
    """Recent requests of a service.

    Attributes:
        began_at: Instant of the first request.
        spans: The last seconds that had requests.
    """

    began_at: float = float('inf')
    spans: deque[Span] = attrs.field(factory=lambda: deque(maxlen=SPANS))


def record_request(
    traffic: Traffic, sends: int, now: float, *, is_first: bool
) -> None:
    """Count a granted request.

    Args:
        traffic: The recent requests.
        sends: Sends that it needs.
        now: The present instant.
        is_first: Whether it is the first attempt of a request.
    """
    traffic.began_at = min(traffic.began_at, now)
    second = math.floor(now)
    if not traffic.spans or traffic.spans[-1].second < second:
        traffic.spans.append(Span(second))
    traffic.spans[-1].requests += is_first
    traffic.spans[-1].sends += sends


def requests_per_second(traffic: Traffic, now: float) -> float:
    """Return the rate of new requests."""
    requests = sum(span.requests for span in _recent(traffic, now))
    return requests / _seconds(traffic, now)


def sends_per_second(traffic: Traffic, now: float) -> float:
    """Return the rate of sends, if all requests went to one version."""
    sends = sum(span.sends for span in _recent(traffic, now))
    return sends / _seconds(traffic, now)


def forecast_sends(
    traffic: Traffic, seconds: float, deviations: float, now: float
) -> float:
    """Return how many sends all requests of some seconds need at most.

    Args:
        traffic: The recent requests.
        seconds: The time.
        deviations: Standard deviations by which they may exceed the mean.
        now: The present instant.
    """
    rate = requests_per_second(traffic, now)
    requests = rate * seconds
    # The rate is an estimate itself.
    variance = requests * (1 + seconds / _seconds(traffic, now))
    each = sends_per_second(traffic, now) / rate if rate else 1
    return each * (requests + deviations * math.sqrt(variance))


def _recent(traffic: Traffic, now: float) -> list[Span]:
    since = math.floor(now) - SPANS + 1
    return [span for span in traffic.spans if span.second >= since]


def _seconds(traffic: Traffic, now: float) -> float:
    since = max(traffic.began_at, math.floor(now) - SPANS + 1)
    return max(1, now - since)
