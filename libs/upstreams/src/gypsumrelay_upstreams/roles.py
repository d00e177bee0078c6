"""Role changes of an upstream between prefill and decode."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import attrs

from gypsumrelay_upstreams.reservations import Purpose


@attrs.frozen
class RoleSettings:
    """Thresholds of a role change.

    Attributes:
        window_seconds: Time over which the demand must be one-sided. A
            change costs the KV cache, so short peaks must not cause one.
        hold_seconds: Shortest time between two changes of an upstream.
        gap_seconds: Longest time between samples of a usable window.
        hot: Load of a pool from which it needs more upstreams.
        calm: Load up to which a pool can give an upstream away; the
            distance to `hot` keeps an upstream from changing back.
        max_fraction: Largest part of a pool that changes at once, since
            all agents see the same demand.
    """

    window_seconds: float = 60
    hold_seconds: float = 300
    gap_seconds: float = 10
    hot: float = 0.9
    calm: float = 0.5
    max_fraction: float = 0.2


@attrs.frozen
class Demand:
    """Load of both pools at an instant; 1 is all that a pool can do."""

    at: float
    prefill: float
    decode: float


@attrs.frozen
class RoleView:
    """What an agent knows of its upstream's role.

    Attributes:
        changed_at: Instant of the newest change.
        position: Place of the upstream in its pool, from 0 up to 1, the
            same at every look; low ones change first.
        pool_size: Upstreams with the same role, this one included.
    """

    role: Purpose
    changed_at: float
    position: float
    pool_size: int


def wanted_role(
    settings: RoleSettings,
    view: RoleView,
    samples: Sequence[Demand],
    now: float,
) -> Purpose:
    """Return the role that the upstream should have now."""
    if view.pool_size <= 1 or now < view.changed_at + settings.hold_seconds:
        return view.role
    started_at = now - settings.window_seconds
    window = [sample for sample in samples if sample.at >= started_at]
    if not _covers(settings, window, started_at, now):
        return view.role
    loads = [_own_and_other(view.role, sample) for sample in window]
    if any(_is_balanced(settings, own, other) for own, other in loads):
        return view.role
    excess = min(_excess(own, other) for own, other in loads)
    if view.position >= min(settings.max_fraction, excess):
        return view.role
    return _other(view.role)


def _covers(
    settings: RoleSettings,
    window: list[Demand],
    started_at: float,
    now: float,
) -> bool:
    """Return whether the samples leave no large gap in the window."""
    instants = [started_at, *sorted(item.at for item in window), now]
    gaps = [later - earlier for earlier, later in itertools.pairwise(instants)]
    return max(gaps) <= settings.gap_seconds


def _own_and_other(role: Purpose, sample: Demand) -> tuple[float, float]:
    if role is Purpose.prefill:
        return sample.prefill, sample.decode
    return sample.decode, sample.prefill


def _is_balanced(settings: RoleSettings, own: float, other: float) -> bool:
    return own > settings.calm or other < settings.hot


def _excess(own: float, other: float) -> float:
    """Return the part of the own pool that would even out both loads."""
    return (other - own) / (other + own) / 2


def _other(role: Purpose) -> Purpose:
    return Purpose.decode if role is Purpose.prefill else Purpose.prefill
