"""Rate limits that upstreams state, for the requests of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_buckets import (
    Bucket,
    BucketSize,
    available_at,
    available_tokens,
    refill,
    resize,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Requests per second at which an upstream is tried that accepts fewer: only an
# answer shows that a limit has ended.
MIN_RATE: Final = 0.1
# Seconds of its rate that an upstream may get at once after a pause.
BURST_SECONDS: Final = 0.5
# Seconds for which the limit of an upstream is kept that is no longer listed:
# its entry may only have expired during an outage of the store.
UNLISTED_SECONDS: Final = 60.0


@attrs.define
class RateLimit:
    """Rate limit of one upstream.

    Attributes:
        bucket: Requests that the upstream accepts now.
        stated_at: Instant at which its last statement was received.
        expires_at: Instant at which the limit is forgotten; infinite while the
            upstream is listed.
    """

    bucket: Bucket
    stated_at: float
    expires_at: float = float('inf')

    @property
    def per_second(self) -> float:
        """Return the limit in requests per second."""
        return self.bucket.size.rate


# Rate limits in force, by name of the upstream. An address may pass to another
# upstream, a name does not.
RateLimits = dict[str, RateLimit]


def state_limit(
    limits: RateLimits, upstream: str, per_second: float, now: float
) -> None:
    """Apply a limit that an upstream states in an answer.

    Args:
        limits: The limits in force.
        upstream: Name of the upstream.
        per_second: Requests per second that it accepts.
        now: The present instant.
    """
    size = _bucket_size(per_second)
    limit = limits.get(upstream)
    if limit is None:
        limits[upstream] = RateLimit(Bucket(size, now, level=1), now)
        return
    resize(limit.bucket, size, now)
    limit.stated_at = now


def restore_limit(
    limits: RateLimits, upstream: str, per_second: float, now: float
) -> None:
    """Apply a limit that an instance learned under an earlier coordinator.

    The lowest one is in force until the upstream's next answer, since it is
    unknown which is the newest. The upstream gets no request at once, since
    the earlier coordinator may have sent one just before.
    """
    limit = limits.get(upstream)
    if limit is None:
        bucket = Bucket(_bucket_size(per_second), now)
        limits[upstream] = RateLimit(bucket, now)
    elif per_second < limit.per_second:
        state_limit(limits, upstream, per_second, now)


def end_limit(limits: RateLimits, upstream: str, sent_at: float) -> bool:
    """End a limit that an answer no longer states; return whether it ended.

    Answers of different instances arrive in any order. Only the answer to a
    request that was sent after the last statement is certainly newer.

    Args:
        limits: The limits in force.
        upstream: Name of the upstream.
        sent_at: Instant before which the answered request was not sent.
    """
    limit = limits.get(upstream)
    if limit is None or sent_at <= limit.stated_at:
        return False
    limits.pop(upstream)
    return True


def allows_request(limits: RateLimits, upstream: str, now: float) -> bool:
    """Return whether an upstream accepts another request now."""
    limit = limits.get(upstream)
    if limit is None:
        return True
    refill(limit.bucket, now)
    return available_tokens(limit.bucket) > 0


def count_request(limits: RateLimits, upstream: str, now: float) -> None:
    """Count a request that is sent to an upstream."""
    limit = limits.get(upstream)
    if limit is not None:
        refill(limit.bucket, now)
        limit.bucket.level -= 1


def admit_restarted(limits: RateLimits, upstream: str, now: float) -> None:
    """Let an upstream that restarted get a request at once.

    It may need no limit any more, which its first answer shows.
    """
    limit = limits.get(upstream)
    if limit is not None:
        refill(limit.bucket, now)
        limit.bucket.level = max(limit.bucket.level, 1)


def note_listed(limits: RateLimits, listed: Iterable[str], now: float) -> None:
    """Forget the limits of upstreams that have been unlisted for long."""
    names = frozenset(listed)
    for name, limit in list(limits.items()):
        if name in names:
            limit.expires_at = float('inf')
        elif now >= limit.expires_at:
            limits.pop(name)
        else:
            limit.expires_at = min(limit.expires_at, now + UNLISTED_SECONDS)


def accepted_at(
    limits: RateLimits, upstreams: Iterable[str], ahead: int, now: float
) -> float:
    """Return when the upstreams accept a request behind others.

    Args:
        limits: The limits in force.
        upstreams: Upstreams that may get the request.
        ahead: Requests that are sent to them before.
        now: The present instant.

    Returns:
        The instant; `now` if one of the upstreams has no limit, or without
        upstreams. The first one without a limit ends the search.
    """
    buckets = []
    for name in upstreams:
        limit = limits.get(name)
        if limit is None:
            return now
        refill(limit.bucket, now)
        buckets.append(limit.bucket)
    if not buckets:
        return now
    level = sum(bucket.level for bucket in buckets)
    rate = sum(bucket.size.rate for bucket in buckets)
    first = min(available_at(bucket, 1, now) or now for bucket in buckets)
    return max(first, now + (ahead + 1 - level) / rate)


def _bucket_size(per_second: float) -> BucketSize:
    rate = max(MIN_RATE, per_second)
    return BucketSize(rate, max(1, rate * BURST_SECONDS))
