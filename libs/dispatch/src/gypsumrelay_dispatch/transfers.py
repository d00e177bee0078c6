"""Observed times of KV cache transfers, by zones and by upstream."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import repeat
from typing import Final

import attrs

# Number of transfers from which a delay is estimated, the minimum one, and the
# part of them that is faster than the estimate: three of four or five of seven
# have to be slow. If 15 in 100 first events are late at random, as many are in
# one of 80 and one of 800 windows.
WINDOW: Final = 7
MIN_TRANSFERS: Final = 4
QUANTILE: Final = 1 / 3
# Number of transfers of one size from which the usual time is estimated, and
# the part of them that is faster. A quarter, since at most a few of the links
# and upstreams are slow at a time.
USUAL_WINDOW: Final = 32
USUAL_QUANTILE: Final = 0.25
# Seconds after the last transfer from which what is slow is tried again, with
# one request at a time. The time of that is known once its stream has ended,
# which takes about three seconds.
RETRY_SECONDS: Final = 8.0
# Seconds after which transfers are forgotten.
MEMORY_SECONDS: Final = 30.0
# Delay in milliseconds from which a link or upstream counts as slow: a ninth of
# the usual latency objective of a prompt.
SLOW_MS: Final = 100.0
# Assumed delay in milliseconds of a transfer that failed; the KV cache expires
# after this time.
FAILED_MS: Final = 500.0
# Maximum delay in milliseconds; a transfer that would wait for longer is not
# started.
MAX_DELAY_MS: Final = 2000.0
# Prompt tokens of the delay that decides whether a link counts as slow.
REFERENCE_TOKENS: Final = 3000
# Prompt tokens below which a delay is not scaled up to larger prompts: it has
# other causes than the size of the KV cache.
MIN_TOKENS: Final = 1000
# Number of estimates beyond which outdated ones are dropped.
MAX_ESTIMATES: Final = 2048

# What a delay is attributed to: the pair of zones, the source or the
# destination.
Subject = tuple[str, ...]


@attrs.frozen
class TransferPath:
    """The way of a KV cache from a prefill to a decode upstream.

    Attributes:
        service: The service; KV caches differ in size between services.
        source: Prefill upstream.
        source_zone: Its availability zone.
        destination: Decode upstream.
        destination_zone: Its availability zone.
    """

    service: str
    source: str
    source_zone: str
    destination: str
    destination_zone: str

    @property
    def subjects(self) -> tuple[Subject, Subject, Subject]:
        """Return what may be the cause of a delay."""
        return (
            self.zones,
            ('source', self.source),
            ('destination', self.destination),
        )

    @property
    def zones(self) -> Subject:
        """Return the pair of zones."""
        pair = (self.source_zone, self.destination_zone)
        return ('zones', self.service, *pair)


@attrs.define
class Estimate:
    """Estimated delay of transfers compared with the usual time.

    Attributes:
        delays: Delay of the last transfers in milliseconds for a prompt token.
        per_token: Estimated delay in milliseconds for a prompt token.
        observed_at: Instant of the last transfer or trial.
        is_trial: Whether a trial has not ended.
    """

    delays: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=WINDOW),
    )
    per_token: float = 0
    observed_at: float = float('-inf')
    is_trial: bool = False


@attrs.define
class Transfers:
    """What is known of the times of transfers.

    Attributes:
        estimates: Estimates by what the delay is attributed to.
        usual: Recent times in milliseconds by service and size of the prompt.
        slow: What counts as slow since the last check, with the delay in
            milliseconds of a prompt of `REFERENCE_TOKENS`.
    """

    estimates: dict[Subject, Estimate] = attrs.field(factory=dict)
    usual: dict[tuple[str, int], deque[float]] = attrs.field(factory=dict)
    slow: dict[Subject, float] = attrs.field(factory=dict)


@attrs.frozen
class TransferChange:
    """A link or upstream that has become slow, or no longer is.

    Attributes:
        subject: The pair of zones, the source or the destination.
        delay_ms: Delay in milliseconds of a prompt of `REFERENCE_TOKENS`.
        is_slow: Whether it counts as slow now.
    """

    subject: Subject
    delay_ms: float
    is_slow: bool


def observe_transfer(
    transfers: Transfers,
    path: TransferPath,
    tokens: int,
    milliseconds: float,
    now: float,
) -> None:
    """Update the estimates from the time between prefill and first event.

    Args:
        transfers: The state.
        path: The upstreams and their zones.
        tokens: Prompt tokens.
        milliseconds: Time from the end of the prefill to the first event.
        now: The current instant.
    """
    if tokens <= 0:
        return
    usual = _observe_usual(transfers, path.service, tokens, milliseconds)
    delay = (milliseconds - usual) / max(tokens, MIN_TOKENS)
    _observe_delay(transfers, path, delay, now)


def observe_failure(
    transfers: Transfers, path: TransferPath, tokens: int, now: float
) -> None:
    """Update the estimates from a transfer that failed."""
    if tokens > 0:
        delay = FAILED_MS / max(tokens, MIN_TOKENS)
        _observe_delay(transfers, path, delay, now)


def note_trial(transfers: Transfers, path: TransferPath, now: float) -> None:
    """Note a placement at what is slow, which other requests wait for.

    Its time is known only after its stream has ended. Until then, the delay
    counts again, so that one request at a time tries whether it is over.
    """
    for subject in path.subjects:
        estimate = transfers.estimates.get(subject)
        if estimate is not None and _is_slow(estimate.per_token):
            is_outdated = now - estimate.observed_at > RETRY_SECONDS
            estimate.is_trial = estimate.is_trial or is_outdated
            estimate.observed_at = now


def path_delay_ms(
    transfers: Transfers, path: TransferPath, tokens: int, now: float
) -> float:
    """Return the expected delay of a transfer in milliseconds.

    The delays of source, destination and zones are added: a slow one shows in
    the estimate of another one only if most transfers of that use it.
    """
    delays = (
        _delay_per_token(transfers, subject, now) for subject in path.subjects
    )
    return min(MAX_DELAY_MS, tokens * sum(delays))


def knows_zones(transfers: Transfers, path: TransferPath, now: float) -> bool:
    """Return whether recent transfers between two zones are known."""
    zones = transfers.estimates.get(path.zones)
    if zones is None or now - zones.observed_at > MEMORY_SECONDS:
        return False
    return len(zones.delays) >= MIN_TRANSFERS


def source_delay_ms(
    transfers: Transfers, source: str, tokens: int, now: float
) -> float:
    """Return the expected delay of transfers from a prefill upstream."""
    delay = _delay_per_token(transfers, ('source', source), now)
    return min(MAX_DELAY_MS, tokens * delay)


def refresh_slow(transfers: Transfers, now: float) -> list[TransferChange]:
    """Update what counts as slow, and return the changes."""
    slow = {
        subject: _delay_per_token(transfers, subject, now) * REFERENCE_TOKENS
        for subject, estimate in transfers.estimates.items()
        if _is_slow(estimate.per_token)
        and now - estimate.observed_at <= MEMORY_SECONDS
    }
    before = transfers.slow
    transfers.slow = slow
    return [
        *_changes(slow, slow.keys() - before.keys(), is_slow=True),
        *_changes(before, before.keys() - slow.keys(), is_slow=False),
    ]


def _changes(
    delays: dict[Subject, float], subjects: Iterable[Subject], *, is_slow: bool
) -> list[TransferChange]:
    return [
        TransferChange(subject, delays[subject], is_slow)
        for subject in sorted(subjects)
    ]


def _observe_usual(
    transfers: Transfers, service: str, tokens: int, milliseconds: float
) -> float:
    """Record a time; return the usual one of prompts of about this size."""
    size = (service, tokens.bit_length())
    times = transfers.usual.setdefault(size, deque(maxlen=USUAL_WINDOW))
    times.append(milliseconds)
    return sorted(times)[int((len(times) - 1) * USUAL_QUANTILE)]


def _observe_delay(
    transfers: Transfers, path: TransferPath, delay: float, now: float
) -> None:
    estimates = transfers.estimates
    if len(estimates) > MAX_ESTIMATES:
        for known, outdated in list(estimates.items()):
            if now - outdated.observed_at > MEMORY_SECONDS:
                estimates.pop(known)
    for subject in path.subjects:
        estimate = estimates.setdefault(subject, Estimate())
        _update_estimate(estimate, delay, now)


def _update_estimate(estimate: Estimate, delay: float, now: float) -> None:
    age = now - estimate.observed_at
    if age > MEMORY_SECONDS:
        estimate.delays.clear()
        estimate.per_token = 0
    is_trial = estimate.is_trial or age > RETRY_SECONDS
    estimate.is_trial = False
    estimate.observed_at = now
    if is_trial and _is_slow(estimate.per_token) and not _is_slow(delay):
        # The earlier transfers show nothing about the present.
        estimate.delays.extend(repeat(delay, WINDOW))
    estimate.delays.append(delay)
    if len(estimate.delays) >= MIN_TRANSFERS:
        index = int((len(estimate.delays) - 1) * QUANTILE)
        estimate.per_token = max(0, sorted(estimate.delays)[index])


def _delay_per_token(
    transfers: Transfers, subject: Subject, now: float
) -> float:
    """Return the estimated delay; 0 if it is time to try again."""
    estimate = transfers.estimates.get(subject)
    if estimate is None:
        return 0
    age = now - estimate.observed_at
    if age > MEMORY_SECONDS:
        return 0
    if age > RETRY_SECONDS and _is_slow(estimate.per_token):
        return 0
    return estimate.per_token


def _is_slow(per_token: float) -> bool:
    return per_token * REFERENCE_TOKENS >= SLOW_MS
