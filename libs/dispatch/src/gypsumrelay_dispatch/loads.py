"""What the coordinator knows about the use of each upstream."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

import attrs

from gypsumrelay_dispatch.forecast import Growth, growth
from gypsumrelay_dispatch.models import Ending, Need, Phase, Upstream

if TYPE_CHECKING:
    from gypsumrelay_settings import DispatchSettings

# Weight of the newest observation in a moving average.
SMOOTHING: Final = 0.1
# Seconds; a plain request's time before the first one was observed.
FIRST_LATENCY_SECONDS: Final = 0.05
# Bound of the slowness of a prefill upstream, in both directions.
MAX_SLOWNESS: Final = 8.0
MS_PER_SECOND: Final = 1000
# Losses in a row; one lost answer alone says little about an upstream.
LOSSES_TO_SUSPEND: Final = 2
# KV caches in a row; one may also be refused for lack of memory.
UNFETCHED_TO_SUSPEND: Final = 3
COLD_WINDOW_SECONDS: Final = 1.0


@attrs.define
class Place:
    """A granted place until its use has ended.

    Attributes:
        need: The attempt.
        upstream: Where it runs, or will after its prompt was read.
        prefill: Where its prompt is being read; empty afterwards.
        read_by: Where its prompt was read; empty before.
        prefill_ms: Estimated work of reading it there.
        granted_at: When the place was granted.
        started_at: When its output probably began; infinite while its
            prompt is read.
    """

    need: Need
    upstream: str
    prefill: str
    prefill_ms: float
    granted_at: float
    started_at: float = float('inf')
    read_by: str = ''


@attrs.define
class Load:
    """Use and health of one upstream.

    Attributes:
        upstream: The upstream as listed last.
        running: Places in use here, by attempt.
        reading_ms: Estimated prefill work by attempt.
        reads_until: When it has probably read the prompt that it got as a
            decode upstream without a KV cache.
        sent: Instants of the newest sends, for the cold limit.
        latency: Moving average of the seconds of a request.
        success: Moving average of the share of requests that succeed.
        slowness: Moving average of measured over estimated prefill time.
        losses: Losses in a row.
        unfetched: KV caches in a row that could not be fetched from here.
        suspended_until: Instant before which it gets work only if there is
            no other upstream.
        changing_to: Phase to which it was ordered; None for none.
        changing_until: When that order is taken for lost.
        usable_until: Instant at which an upstream that vanished from the
            list is given up; infinite for listed ones.
    """

    upstream: Upstream
    running: dict[tuple[str, int], Place] = attrs.field(factory=dict)
    reading_ms: dict[tuple[str, int], float] = attrs.field(factory=dict)
    reads_until: float = 0
    sent: deque[float] = attrs.field(factory=deque)
    latency: float = FIRST_LATENCY_SECONDS
    success: float = 1
    slowness: float = 1
    losses: int = 0
    unfetched: int = 0
    suspended_until: float = 0
    changing_to: Phase | None = None
    changing_until: float = 0
    usable_until: float = float('inf')

    def is_changing(self, now: float) -> bool:
        """Return whether it is on its way to another phase."""
        return now < self.changing_until

    @property
    def backlog_ms(self) -> float:
        """Return the estimated prefill work that was given out."""
        return sum(self.reading_ms.values()) * self.slowness


def bears_send(load: Load, per_second: float, now: float) -> bool:
    """Return whether a send now stays within the cold limit.

    Upstreams turn cold without notice, so the limit holds at all times.
    """
    if per_second <= 0:
        return True
    while load.sent and load.sent[0] <= now - COLD_WINDOW_SECONDS:
        load.sent.popleft()
    return len(load.sent) < int(per_second)


def observe_ending(
    load: Load,
    ending: Ending,
    seconds: float,
    settings: DispatchSettings,
    now: float,
) -> None:
    """Learn from the end of an attempt at an upstream."""
    if ending in {Ending.cancelled, Ending.unfetched}:
        return
    if ending is Ending.answered:
        load.losses = 0
        load.suspended_until = 0
        load.latency += SMOOTHING * (seconds - load.latency)
    load.success += SMOOTHING * ((ending is Ending.answered) - load.success)
    if ending in {Ending.lost, Ending.unreached, Ending.misdirected}:
        load.losses += 1
        _suspend(load, ending, settings, now)


def observe_fetch(
    load: Load,
    ending: Ending,
    settings: DispatchSettings,
    now: float,
) -> None:
    """Learn whether KV caches can be fetched from an upstream."""
    if ending is Ending.answered:
        load.unfetched = 0
    if ending is Ending.unfetched:
        load.unfetched += 1
        if load.unfetched >= UNFETCHED_TO_SUSPEND:
            load.suspended_until = now + settings.max_suspend_seconds


def observe_prefill(load: Load, estimated_ms: float, seconds: float) -> None:
    """Learn how slow an upstream reads prompts against the estimate."""
    if estimated_ms <= 0:
        return
    ratio = seconds * MS_PER_SECOND / estimated_ms
    ratio = min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio))
    load.slowness += SMOOTHING * (ratio - load.slowness)


def growth_of(place: Place, pace_ms: float, now: float) -> Growth:
    """Return the forecast of a place's engine memory."""
    need = place.need
    elapsed_ms = max(0, now - place.started_at) * MS_PER_SECOND
    return growth(
        need.prompt_tokens,
        need.expected_tokens,
        need.output_tokens,
        elapsed_ms / pace_ms,
    )


def plain_score(load: Load, availability_zone: str) -> float:
    """Return a cost of sending a plain request here; the least is best."""
    busy = (len(load.running) + 1) / max(1, load.upstream.slots)
    away = load.upstream.availability_zone != availability_zone
    success = max(SMOOTHING, load.success)
    return busy * load.latency / success * (1 + SMOOTHING * away)


def is_phase(load: Load, service: str, phase: Phase) -> bool:
    """Return whether an upstream is one of a service's pool."""
    upstream = load.upstream
    return upstream.service == service and upstream.phase is phase


def _suspend(
    load: Load,
    ending: Ending,
    settings: DispatchSettings,
    now: float,
) -> None:
    if ending is Ending.misdirected:
        # The upstream is gone; its entry lapses soon.
        load.suspended_until = now + settings.max_suspend_seconds
        return
    needed = 1 if ending is Ending.unreached else LOSSES_TO_SUSPEND
    if load.losses < needed:
        return
    doublings = min(load.losses - needed, 10)
    pause = settings.suspend_seconds * (1 << doublings)
    pause = min(pause, settings.max_suspend_seconds)
    load.suspended_until = now + pause
