"""Readiness of a relay by its load, compared with the instance's capacity."""

from gypsumrelay_relay.capacity.measurement import (
    InstanceCapacity,
    Reading,
    Usage,
    compute_usage,
)
from gypsumrelay_relay.capacity.readiness import (
    Change,
    Readiness,
    ZoneView,
    allows_ready,
    overloaded_resources,
    update,
    zone_view,
)

__all__ = (
    'Change',
    'InstanceCapacity',
    'Readiness',
    'Reading',
    'Usage',
    'ZoneView',
    'allows_ready',
    'compute_usage',
    'overloaded_resources',
    'update',
    'zone_view',
)
