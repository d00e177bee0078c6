"""Versions of each service that may get requests."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from typing import Final

from gypsumrelay_rollouts.rollout import Stage
from gypsumrelay_rollouts.state import Rollouts, running_rollout

# Time in seconds for which a version that appears without an order gets
# nothing; its order is written when its upstreams start.
HOLD_SECONDS: Final = 5.0


def apply_versions(
    rollouts: Rollouts, listed: Mapping[str, AbstractSet[str]], now: float
) -> None:
    """Apply the versions of the listed upstreams, by service.

    The first ones are in force. One that is listed later is held for a while,
    in which its order is read, unless no upstream of a version in force is
    left.
    """
    if not rollouts.bounds.enabled:
        return
    for service, versions in listed.items():
        rollouts.listed[service] = frozenset(versions)
        in_force = rollouts.in_force.get(service, frozenset())
        rollout = running_rollout(rollouts, service)
        if rollout is not None and not rollout.is_trusted:
            # Upstreams of the old version may be listed again.
            in_force -= {rollout.order.version}
        if not in_force & versions:
            barred = rollouts.barred.get(service, frozenset())
            rollouts.in_force[service] = frozenset(versions) - barred
            ordered = rollouts.current.get(service)
            if ordered is not None and ordered.stage is not Stage.refused:
                keep_others(rollouts, service, ordered.order.version)
        for version in unknown_versions(rollouts, service):
            rollouts.held.setdefault((service, version), now + HOLD_SECONDS)


def release_held(rollouts: Rollouts, now: float) -> None:
    """Put the held versions into force for which no order has come."""
    for (service, version), until in list(rollouts.held.items()):
        if now < until:
            continue
        rollouts.held.pop((service, version))
        if version in unknown_versions(rollouts, service):
            in_force = rollouts.in_force[service]
            rollouts.in_force[service] = in_force | {version}


def put_in_force(rollouts: Rollouts, service: str, version: str) -> None:
    """Put one version into force, and bar the former ones."""
    listed = rollouts.listed.get(service, frozenset())
    former = rollouts.in_force.get(service, frozenset()) | listed
    barred = rollouts.barred.get(service, frozenset()) | former
    rollouts.in_force[service] = frozenset((version,))
    rollouts.barred[service] = barred - {version}


def bar_version(rollouts: Rollouts, service: str, version: str) -> None:
    """Give a version nothing more without another order."""
    barred = rollouts.barred.get(service, frozenset())
    rollouts.barred[service] = barred | {version}
    keep_others(rollouts, service, version)


def restore_others(rollouts: Rollouts, service: str, version: str) -> None:
    """Put the other versions back into force after another decision.

    A coordinator that has completed a roll-out learns that another one had
    reverted it.
    """
    if rollouts.in_force.get(service) != frozenset((version,)):
        return
    others = rollouts.listed.get(service, frozenset()) - {version}
    rollouts.in_force[service] = others
    rollouts.barred[service] = frozenset((version,))


def keep_others(rollouts: Rollouts, service: str, version: str) -> None:
    """Put a version out of force if there is another one in force."""
    others = rollouts.in_force.get(service, frozenset()) - {version}
    if others:
        rollouts.in_force[service] = others


def unknown_versions(rollouts: Rollouts, service: str) -> frozenset[str]:
    """Return the listed versions that are neither ordered nor in force."""
    rollout = rollouts.current.get(service)
    ordered: frozenset[str] = frozenset()
    if rollout is not None and not rollout.is_final:
        ordered = rollout.versions
    return (
        rollouts.listed.get(service, frozenset())
        - rollouts.in_force.get(service, frozenset())
        - rollouts.barred.get(service, frozenset())
        - ordered
    )
