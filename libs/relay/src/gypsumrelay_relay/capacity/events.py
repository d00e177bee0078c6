"""Log events of a relay's load and readiness."""

from __future__ import annotations

from typing import ClassVar

import attrs
from gypsumrelay_dispatch import TransferChange

from gypsumrelay_relay.events.state import StateChange


@attrs.frozen
class LoadChanged(StateChange):
    """The relay is near its instance's capacity, or no longer is.

    Attributes:
        state: `loaded` or `normal`.
        resources: Resources that are near their capacity, separated by commas.
        cpu: Processor use as a share of the instance's cores.
        requests: Open requests as a share of the worker threads.
        memory: Memory as a share of the instance's; 0 if that is unknown.
        link: Time that waiting bytes need on the link, as a share of 0.3 s.
    """

    event: ClassVar[str] = 'load'
    template: ClassVar[str] = (
        'Load of this relay is {state} ({resources}): processor {cpu}, '
        'requests {requests}, memory {memory}, link {link}.'
    )

    state: str
    resources: str
    cpu: float
    requests: float
    memory: float
    link: float


@attrs.frozen
class ReadinessChanged(StateChange):
    """The relay changes its answer to readiness probes because of load.

    Attributes:
        answer: `ready` or `not ready`.
        resources: Resources that are near their capacity, separated by commas.
        zone_relays: Known relays of the availability zone, with this one.
        zone_not_ready: How many of the others are dead, leaving or loaded.
        budget_ms: Time in milliseconds for which the relay may still be not
            ready.
    """

    event: ClassVar[str] = 'readiness'
    template: ClassVar[str] = (
        'Answer to readiness probes is {answer} ({resources}); of '
        '{zone_relays} relays in the zone, {zone_not_ready} others are not '
        'ready or loaded.'
    )

    answer: str
    resources: str
    zone_relays: int
    zone_not_ready: int
    budget_ms: int


@attrs.frozen
class TransferTimeChanged(StateChange):
    """KV cache transfers have become slow, or no longer are.

    Attributes:
        cause: `zones` with service, zone of the prefill upstream and zone of
            the decode upstream; `source` with a prefill upstream; or
            `destination` with a decode upstream.
        state: `slow` or `normal`.
        delay_ms: Delay in milliseconds of a prompt of 3,000 tokens, compared
            with the usual time; the last one known if it is normal now.
    """

    event: ClassVar[str] = 'transfers'
    template: ClassVar[str] = (
        'Transfers of KV caches are {state} for {cause}: {delay_ms} ms.'
    )

    cause: str
    state: str
    delay_ms: int


def transfer_event(change: TransferChange) -> TransferTimeChanged:
    """Return the log event of a change of transfer times."""
    state = 'slow' if change.is_slow else 'normal'
    cause = ' '.join(change.subject)
    return TransferTimeChanged(cause, state, int(change.delay_ms))
