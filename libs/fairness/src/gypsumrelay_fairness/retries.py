"""Retry times of rejected callers, in the order capacity becomes free."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

# Part of a service's capacity that is promised to returning callers. They are
# late mostly, and displace callers that can be served in time.
PROMISED_SHARE: Final = 0.05
# Seconds after a promised time in which a caller counts as returning; covers
# the way to a relay and its wait for a slow one.
RETURN_GRACE_SECONDS: Final = 2.0
# Seconds by which a caller may return too early, for the rounding of the time
# and for clocks that differ.
EARLY_SECONDS: Final = 0.05
# Seconds for which it is kept that a request is from a returning caller; no
# request runs longer.
CLAIM_SECONDS: Final = 20.0
# Bound of the promises and of the claims; more callers get a time, but are not
# recognised when they return.
MAX_PROMISES: Final = 4096
# Part of the time that a caller has left for which it waits at most.
PATIENCE_SHARE: Final = 1 / 3
# Part of that time before which no caller returns: bursts last some seconds,
# and a caller that returns within one displaces others that are still in time.
MIN_PATIENCE_SHARE: Final = 0.6
# Last part of that time, over which callers without promised capacity are
# spread.
LAST_SPAN_SHARE: Final = 0.1
# Earliest retry in seconds; an earlier one would meet the same queue.
MIN_RETRY_SECONDS: Final = 0.2
# Spacing in seconds where the speed of a queue is unknown.
DEFAULT_SPACING_SECONDS: Final = 0.05

# Step of a sequence in [0, 1) whose members are spread evenly at any length.
GOLDEN_SECTION: Final = 0.618034

CallerKey = tuple[bytes, str]


@attrs.frozen
class Promise:
    """A retry time that a rejected caller got.

    Attributes:
        service: Service of the request.
        caller: Digest of the request's content and its client account, since
            each try of a caller has a new request id.
        rank: Rank of the request.
        retry_at: The promised instant.
        rejections: How often the caller has been rejected.
        has_capacity: Whether capacity was promised for that instant.
    """

    service: str
    caller: CallerKey
    rank: int
    retry_at: float
    rejections: int = 1
    has_capacity: bool = True


@attrs.define
class Claim:
    """A request whose caller returned after a promise."""

    promise: Promise
    claimed_at: float


@attrs.define
class Ledger:
    """Promised retry times.

    Attributes:
        promises: Promises that no caller has claimed, by service and in order
            of their time.
        by_caller: The same promises, by caller.
        claims: Promises whose caller has returned, by the id of its request.
        count: Number of unclaimed promises.
        spread: Place in their span of the last time without capacity.
    """

    promises: dict[str, list[Promise]] = attrs.field(factory=dict)
    by_caller: dict[CallerKey, deque[Promise]] = attrs.field(factory=dict)
    claims: dict[str, Claim] = attrs.field(factory=dict)
    count: int = 0
    spread: float = 0


@attrs.frozen
class Rejected:
    """A rejected caller that gets a retry time.

    Attributes:
        service: Service of the request.
        caller: Digest of its content and its client account.
        rank: Rank of the request.
        deadline: Instant at which the request times out.
        rejections: How often the caller has been rejected, with this time.
    """

    service: str
    caller: CallerKey
    rank: int
    deadline: float
    rejections: int = 1


def promise_retry(
    ledger: Ledger,
    rejected: Rejected,
    earliest: float,
    interval_seconds: float | None,
    now: float,
) -> float:
    """Return the retry time of a rejected caller, and keep it.

    Times of one service are spaced by the capacity that is promised to
    returning callers; a caller only yields to promises of its own rank and
    of higher ones, since it is served before others when it returns. It gets
    no time beyond a third of the time that it has left, for which callers wait
    at most: if all capacity until then is promised, it gets that time without
    a promise of capacity.

    Args:
        ledger: The promised times.
        rejected: The caller.
        earliest: Instant at which capacity is expected to be free for it.
        interval_seconds: Time between two grants of the service; None where
            unknown.
        now: The present instant.
    """
    latest = latest_retry(rejected.deadline, now)
    start = max(earliest, now + MIN_RETRY_SECONDS)
    start = max(start, now + MIN_PATIENCE_SHARE * (latest - now))
    spacing = DEFAULT_SPACING_SECONDS
    if interval_seconds is not None:
        spacing = interval_seconds / PROMISED_SHARE
    times = [
        other.retry_at
        for other in ledger.promises.get(rejected.service, ())
        if other.rank <= rejected.rank and other.has_capacity
    ]
    retry_at = _first_gap(times, start, spacing)
    has_capacity = retry_at <= latest
    if not has_capacity:
        span = (latest - now) * LAST_SPAN_SHARE
        retry_at = _spread(ledger, max(now, latest - span), max(now, latest))
    add_promise(ledger, rejected, retry_at, has_capacity=has_capacity)
    return retry_at


def add_promise(
    ledger: Ledger,
    rejected: Rejected,
    retry_at: float,
    *,
    has_capacity: bool = True,
) -> None:
    """Keep a retry time that a caller got."""
    digest, _ = rejected.caller
    if not digest or ledger.count >= MAX_PROMISES:
        return
    promise = Promise(
        rejected.service,
        rejected.caller,
        rejected.rank,
        retry_at,
        rejected.rejections,
        has_capacity,
    )
    kept = ledger.promises.setdefault(rejected.service, [])
    kept.append(promise)
    kept.sort(key=_retry_time)
    ledger.by_caller.setdefault(rejected.caller, deque()).append(promise)
    ledger.count += 1


def claim_promise(
    ledger: Ledger,
    service: str,
    caller: CallerKey,
    request_id: str,
    now: float,
) -> Promise | None:
    """Return the promise that a new request's caller got; None without one.

    A request that is sent again, since its first answer was lost, keeps its
    promise. Several callers may have sent equal contents: each promise is
    claimed once, and not before its time.
    """
    claim = ledger.claims.get(request_id)
    if claim is not None:
        return claim.promise
    for promise in ledger.by_caller.get(caller, ()):
        is_due = promise.retry_at - EARLY_SECONDS <= now
        if promise.service == service and is_due:
            _remove(ledger, promise)
            if len(ledger.claims) >= MAX_PROMISES:
                ledger.claims.pop(next(iter(ledger.claims)))
            ledger.claims[request_id] = Claim(promise, now)
            return promise
    return None


def claimed_promise(ledger: Ledger, request_id: str) -> Promise | None:
    """Return the promise that a request has claimed; None without one."""
    claim = ledger.claims.get(request_id)
    return claim.promise if claim else None


def due_promises(ledger: Ledger, service: str, rank: int, until: float) -> int:
    """Return how many callers of a rank or higher will return by an instant."""
    return sum(
        promise.rank <= rank and promise.has_capacity
        for promise in ledger.promises.get(service, ())
        if promise.retry_at <= until
    )


def expire(ledger: Ledger, now: float) -> int:
    """Drop promises whose callers did not return; return their number."""
    dropped = 0
    for service, kept in tuple(ledger.promises.items()):
        expired = [
            promise
            for promise in kept
            if promise.retry_at + RETURN_GRACE_SECONDS < now
        ]
        for promise in expired:
            _remove(ledger, promise)
        dropped += len(expired)
        if not ledger.promises[service]:
            ledger.promises.pop(service)
    for request_id, claim in tuple(ledger.claims.items()):
        if claim.claimed_at + CLAIM_SECONDS < now:
            ledger.claims.pop(request_id)
    return dropped


def latest_retry(deadline: float, now: float) -> float:
    """Return the last instant for which a caller waits to retry."""
    return now + max(0, deadline - now) * PATIENCE_SHARE


def _first_gap(times: list[float], start: float, spacing: float) -> float:
    """Return the first instant that is a spacing away from all given ones."""
    found = start
    for taken in times:
        if taken <= found - spacing:
            continue
        if taken >= found + spacing:
            break
        found = taken + spacing
    return found


def _spread(ledger: Ledger, start: float, end: float) -> float:
    """Return an instant of a span; successive ones are spread evenly."""
    ledger.spread = math.fmod(ledger.spread + GOLDEN_SECTION, 1)
    return start + ledger.spread * (end - start)


def _remove(ledger: Ledger, promise: Promise) -> None:
    ledger.promises[promise.service].remove(promise)
    kept = ledger.by_caller[promise.caller]
    kept.remove(promise)
    if not kept:
        ledger.by_caller.pop(promise.caller)
    ledger.count -= 1


def _retry_time(promise: Promise) -> float:
    return promise.retry_at
