"""What the entry's actor is told and asked."""

from __future__ import annotations

import attrs
from gypsumrelay_configuration import Drain
from gypsumrelay_platform import Listing
from gypsumrelay_routing import PlacementRequest
from gypsumrelay_wire import Address, LoadReport


@attrs.frozen
class ListingRead:
    """The platform's list was read."""

    listing: Listing


@attrs.frozen
class LoadReported:
    """An agent reported the load of its upstream."""

    report: LoadReport


@attrs.frozen
class LinkFailed:
    """The link to an agent closed, or none could be opened."""

    instance: str


@attrs.frozen
class Place:
    """Asks where an attempt runs."""

    request: PlacementRequest


@attrs.frozen
class Target:
    """One agent that an attempt is sent to."""

    upstream: str
    instance: str
    address: Address


@attrs.frozen
class Placed:
    """Where an attempt runs.

    Attributes:
        name: Name of the attempt in the view.
        main: The decode or service upstream.
        prefill: The prefill upstream; the decode upstream itself where it
            prefills a short suffix.
        upstreams: All upstreams that the view counts the attempt at.
        work_seconds: Expected time from the grant to the first token.
    """

    name: str
    main: Target
    prefill: Target
    upstreams: tuple[str, ...]
    work_seconds: float = 0


@attrs.frozen
class Measured:
    """What a completed attempt took; 0 seconds where it did not happen.

    Attributes:
        serves: The model.
        computed_tokens: Prompt tokens that the prefill computed.
        prefill_seconds: Time from sending the prefill to its result.
        prefill_hold_seconds: Time that the place for the prefill was held.
        decode_hold_seconds: Time that the place for the decode was held.
    """

    serves: str
    computed_tokens: int
    prefill_seconds: float
    prefill_hold_seconds: float
    decode_hold_seconds: float


@attrs.frozen
class AttemptGranted:
    """An agent granted the place of an attempt."""

    name: str
    upstream: str


@attrs.frozen
class AttemptEnded:
    """An attempt no longer occupies its places."""

    name: str
    upstreams: tuple[str, ...]
    completed: bool = False
    measured: Measured | None = None


@attrs.frozen
class DrainsChanged:
    """The operators' drains as the configuration has them."""

    drains: tuple[Drain, ...]


@attrs.frozen
class CountUsable:
    """Asks how many upstreams accept new work."""


@attrs.frozen
class WantedPeers:
    """Asks which agents the entry keeps links to."""
