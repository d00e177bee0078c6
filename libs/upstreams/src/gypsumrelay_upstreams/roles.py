"""Changes of an upstream's role between prefill and decode."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import attrs

from gypsumrelay_upstreams.reservations import Purpose


@attrs.frozen
class RoleSettings:
    """Thresholds of a role change.

    Attributes:
        window_seconds: Time for which the demand must be unbalanced. A
            change of role drops the KV cache, so short peaks must not cause
            one.
        hold_seconds: Minimum time between two role changes of an upstream.
        gap_seconds: Maximum time between two samples of a valid window.
        high_load: Load at or above which a pool needs more upstreams.
        low_load: Load up to which a pool can give up an upstream. The
            distance to `high_load` is a hysteresis that prevents an upstream
            from changing back.
        max_fraction: Maximum fraction of a pool that changes its role at
            the same time, since all agents decide by the same demand.
    """

    window_seconds: float = 60
    hold_seconds: float = 300
    gap_seconds: float = 10
    high_load: float = 0.9
    low_load: float = 0.5
    max_fraction: float = 0.2


@attrs.frozen
class Demand:
    """Sample of the load of both pools, as a fraction of their capacity.

    Attributes:
        at: Time of the sample.
        prefill: Load of the prefill pool; 1 is its full capacity.
        decode: Load of the decode pool; 1 is its full capacity.
    """

    at: float
    prefill: float
    decode: float


@attrs.frozen
class RoleView:
    """Role of an upstream and its position in its pool.

    Attributes:
        role: Current role.
        changed_at: Time of the last change of role.
        position: Stable position of the upstream in its pool, from 0 to 1;
            upstreams with low positions change first.
        pool_size: Number of upstreams with the same role, including this
            one.
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
    if not _covers_window(settings, window, started_at, now):
        return view.role
    loads = [_pool_loads(view.role, sample) for sample in window]
    if any(_is_balanced(settings, own, other) for own, other in loads):
        return view.role
    balancing_fraction = min(
        _balancing_fraction(own, other) for own, other in loads
    )
    if view.position >= min(settings.max_fraction, balancing_fraction):
        return view.role
    return _opposite_role(view.role)


def _covers_window(
    settings: RoleSettings,
    window: list[Demand],
    started_at: float,
    now: float,
) -> bool:
    """Return whether the samples cover the window without a large gap."""
    instants = [started_at, *sorted(item.at for item in window), now]
    gaps = [later - earlier for earlier, later in itertools.pairwise(instants)]
    return max(gaps) <= settings.gap_seconds


def _pool_loads(role: Purpose, sample: Demand) -> tuple[float, float]:
    if role is Purpose.prefill:
        return sample.prefill, sample.decode
    return sample.decode, sample.prefill


def _is_balanced(settings: RoleSettings, own: float, other: float) -> bool:
    return own > settings.low_load or other < settings.high_load


def _balancing_fraction(own: float, other: float) -> float:
    """Return the fraction of the own pool whose move balances the loads."""
    return (other - own) / (other + own) / 2


def _opposite_role(role: Purpose) -> Purpose:
    return Purpose.decode if role is Purpose.prefill else Purpose.prefill
