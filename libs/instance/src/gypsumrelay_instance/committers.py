"""Choice of the agents that record claims of idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gypsumrelay_claims import choose_committers

if TYPE_CHECKING:
    from gypsumrelay_platform import ListedInstance, Listing

SERVICE: Final = 'service'


def listed_committers(
    listing: Listing,
    count: int,
) -> dict[str, ListedInstance]:
    """Return the committers of a deployment by name.

    They are chosen among the agents of plain services; in a deployment
    without plain services, among all agents.

    Args:
        listing: Instances in the platform's list.
        count: Number of committers.
    """
    live = [
        instance
        for instance in listing.instances
        if instance.role == 'agent' and not instance.leaving
    ]
    services = [instance for instance in live if instance.kind == SERVICE]
    by_name = {instance.name: instance for instance in services or live}
    return {name: by_name[name] for name in choose_committers(by_name, count)}
