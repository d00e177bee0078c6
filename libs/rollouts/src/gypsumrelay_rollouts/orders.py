"""Orders to move a service to another software version, and their status."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

# Reason of a refusal, by which a coordinator knows what is in force.
IN_FORCE: Final = 'the version is in force'


class State(enum.Enum):
    """State of a roll-out, as the operator reads it."""

    running = 'running'
    completed = 'completed'
    reverted = 'reverted'


@attrs.frozen
class Order:
    """An operator's order to move a service's traffic to a version.

    Attributes:
        service: The service.
        version: The software version; empty if the order does not name a
            valid one.
        duration_seconds: Time from the order to its deadline.
        fault: Why the order is invalid; empty if it is valid.
    """

    service: str
    version: str
    duration_seconds: float = 0
    fault: str = ''


@attrs.frozen
class Status:
    """Status of a roll-out, as it is kept for operators and coordinators.

    Attributes:
        service: The service.
        version: The ordered version.
        state: State of the roll-out.
        duration_seconds: Duration of the order, which tells it from another
            one for the same version.
        deadline_ms: Deadline of the order, Unix milliseconds; 0 if unknown.
        refusal: Why the last order was refused; empty if it was not. An order
            that is refused while another one runs does not end that.
        takes_back: Whether the order takes back one that had not ended.
    """

    service: str
    version: str
    state: State
    duration_seconds: float = 0
    deadline_ms: int = 0
    refusal: str = ''
    takes_back: bool = False


def is_status_of(status: Status, order: Order) -> bool:
    """Return whether a status is of this order and not of an earlier one.

    A status without a duration was written by another system.
    """
    if status.version != order.version:
        return False
    durations = {0, order.duration_seconds}
    return status.duration_seconds in durations


def refusal(
    order: Order,
    services: AbstractSet[str],
    in_force: AbstractSet[str],
) -> str:
    """Return why an order cannot be carried out; empty if it can.

    Args:
        order: The order.
        services: The configured services.
        in_force: Versions of its service that are in force.
    """
    if order.fault:
        return order.fault
    if order.service not in services:
        return 'unknown service'
    if order.version in in_force:
        return IN_FORCE
    return ''
