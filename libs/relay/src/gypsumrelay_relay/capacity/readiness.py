"""Decision whether a relay near its capacity answers readiness probes."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from typing import Final

import attrs

from gypsumrelay_relay.capacity.measurement import Usage
from gypsumrelay_relay.membership import Member

# Share of a resource from which a relay is loaded, and the share below which
# it no longer is. At 0.9 of the processor a request waits for about nine times
# its own processor time. Python rarely returns memory, so that the two limits
# of memory are close together.
LOADED_CPU: Final = 0.9
NORMAL_CPU: Final = 0.7
LOADED_REQUESTS: Final = 0.8
NORMAL_REQUESTS: Final = 0.6
LOADED_MEMORY: Final = 0.85
NORMAL_MEMORY: Final = 0.8
LOADED_LINK: Final = 0.5
NORMAL_LINK: Final = 0.2
LOADED_SHARES: Final = Usage(
    LOADED_CPU, LOADED_REQUESTS, LOADED_MEMORY, LOADED_LINK
)
NORMAL_SHARES: Final = Usage(
    NORMAL_CPU, NORMAL_REQUESTS, NORMAL_MEMORY, NORMAL_LINK
)
# Seconds from the announcement of the load until it may change the answer; the
# heartbeats of the other relays arrive in this time, which tell uneven load
# from load that all have.
ANNOUNCE_SECONDS: Final = 1.0
# Part of a zone's relays that may be not ready, for whatever reason, if load
# is to make this one not ready. The load balancer uses all relays of a zone
# again once fewer than half are ready; a third leaves room for a failure.
MAX_NOT_READY_SHARE: Final = 1 / 3
# Maximum part of the time since the start that a relay is not ready because of
# load; an eighth is a missed duty. Since this time is earned first, a start
# of many relays, which loads them all, makes none of them not ready.
MAX_TIME_SHARE: Final = 0.08
# Maximum seconds of one period in which a relay is not ready.
MAX_PERIOD_SECONDS: Final = 4.0
# Minimum seconds of such a period. The load balancer notices after two probes,
# which take up to two seconds, so that a shorter one has no effect.
MIN_PERIOD_SECONDS: Final = 3.0
# Seconds after the last measurement from which it has no effect.
STALE_SECONDS: Final = 2.0


class Change(enum.Enum):
    """What an update has changed."""

    loaded = 'loaded'
    normal = 'normal'
    not_ready = 'not ready'
    ready = 'ready'


@attrs.frozen
class ZoneView:
    """The relays of this relay's availability zone, as far as it knows.

    Attributes:
        total: Number of relays, with this one and with dead ones.
        not_ready: Number of others that are dead, leaving or loaded.
    """

    total: int
    not_ready: int


@attrs.define
class Readiness:
    """State of the decision.

    Attributes:
        updated_at: Instant of the last update; at first that of the start.
        is_ready: Whether load allows the answer "ready".
        loaded: Names of the resources for which the relay is loaded.
        loaded_since: Instant since which it is loaded; infinite if it is not.
        changed_at: Instant of the last change of `is_ready`.
        budget_seconds: Time for which it may still be not ready.
    """

    updated_at: float
    is_ready: bool = True
    loaded: tuple[str, ...] = ()
    loaded_since: float = math.inf
    changed_at: float = -math.inf
    budget_seconds: float = 0


def update(
    readiness: Readiness, usage: Usage, zone: ZoneView, now: float
) -> list[Change]:
    """Update the decision from a measurement.

    Args:
        readiness: The state.
        usage: Measured use of the instance.
        zone: The other relays of the zone.
        now: The current instant.

    Returns:
        What has changed, in order.
    """
    _update_budget(readiness, now)
    changes = _update_loaded(readiness, usage, now)
    may_decline = _may_begin if readiness.is_ready else _may_continue
    is_ready = not may_decline(readiness, zone, now)
    if is_ready != readiness.is_ready:
        readiness.is_ready = is_ready
        readiness.changed_at = now
        changes.append(Change.ready if is_ready else Change.not_ready)
    return changes


def allows_ready(readiness: Readiness, now: float) -> bool:
    """Return whether load allows the answer "ready" now.

    Without measurements it does, so that a failure to measure never keeps a
    relay from callers.
    """
    return readiness.is_ready or now - readiness.updated_at > STALE_SECONDS


def overloaded_resources(usage: Usage, limits: Usage) -> tuple[str, ...]:
    """Return the names of the resources whose use has reached its limit."""
    pairs = zip(attrs.asdict(usage).items(), attrs.astuple(limits), strict=True)
    return tuple(name for (name, share), limit in pairs if share >= limit)


def zone_view(
    own: Member, known: Iterable[Member], live: Iterable[Member]
) -> ZoneView:
    """Return the state of a relay's availability zone.

    Relays of older versions state no zone and are left out.

    Args:
        own: This relay.
        known: All other relays, with dead ones.
        live: The other relays that are alive.
    """
    zone = own.availability_zone
    total = sum(member.availability_zone == zone for member in known)
    ready = sum(
        member.availability_zone == zone
        and not member.leaving
        and not member.is_loaded
        for member in live
    )
    return ZoneView(total + 1, total - ready)


def _update_budget(readiness: Readiness, now: float) -> None:
    elapsed = max(0, now - readiness.updated_at)
    readiness.updated_at = now
    if readiness.is_ready:
        earned = readiness.budget_seconds + MAX_TIME_SHARE * elapsed
        readiness.budget_seconds = min(MAX_PERIOD_SECONDS, earned)
    else:
        readiness.budget_seconds -= elapsed


def _update_loaded(
    readiness: Readiness, usage: Usage, now: float
) -> list[Change]:
    was_loaded = bool(readiness.loaded)
    limits = NORMAL_SHARES if was_loaded else LOADED_SHARES
    readiness.loaded = overloaded_resources(usage, limits)
    if bool(readiness.loaded) == was_loaded:
        return []
    readiness.loaded_since = math.inf if was_loaded else now
    return [Change.normal if was_loaded else Change.loaded]


def _may_begin(readiness: Readiness, zone: ZoneView, now: float) -> bool:
    """Return whether load makes the relay not ready from now on."""
    return (
        now - readiness.loaded_since >= ANNOUNCE_SECONDS
        and readiness.budget_seconds >= MIN_PERIOD_SECONDS
        and _spares_one(zone)
    )


def _may_continue(readiness: Readiness, zone: ZoneView, now: float) -> bool:
    """Return whether the relay stays not ready."""
    if readiness.budget_seconds <= 0 or not _spares_one(zone):
        return False
    is_short = now - readiness.changed_at < MIN_PERIOD_SECONDS
    return is_short or bool(readiness.loaded)


def _spares_one(zone: ZoneView) -> bool:
    """Return whether enough other relays of the zone are ready."""
    return zone.not_ready + 1 <= zone.total * MAX_NOT_READY_SHARE
