"""Events and queries that the entry's actor handles."""

from __future__ import annotations

import attrs
from gypsumrelay_configuration import Drain
from gypsumrelay_platform import Listing
from gypsumrelay_routing import PlacementRequest
from gypsumrelay_wire import Address, LoadReport


@attrs.frozen
class ListingRead:
    """The platform's list of instances was read."""

    listing: Listing


@attrs.frozen
class LoadReported:
    """An agent reported the load of its upstream."""

    report: LoadReport


@attrs.frozen
class LinkFailed:
    """The link to an agent closed or could not be opened."""

    instance: str


@attrs.frozen
class PlacementQuery:
    """Requests a placement for an attempt."""

    request: PlacementRequest


@attrs.frozen
class Target:
    """An agent to which an attempt is sent.

    Attributes:
        upstream: Name of the agent's upstream.
        instance: Name of the agent's instance.
        address: Address of the agent's link server.
    """

    upstream: str
    instance: str
    address: Address


@attrs.frozen
class AttemptPlacement:
    """Placement of an attempt.

    Attributes:
        name: Name of the attempt's commitments in the view.
        main: The decode or service upstream.
        prefill: The prefill upstream; the same as `main` if the decode
            upstream computes the prefill itself.
        upstreams: All upstreams with a commitment for the attempt.
        work_seconds: Expected seconds from the grants to the first token.
    """

    name: str
    main: Target
    prefill: Target
    upstreams: tuple[str, ...]
    work_seconds: float = 0


@attrs.frozen
class AttemptDurations:
    """Durations of a completed attempt; 0 for a step that did not run.

    Attributes:
        serves: Name of the model.
        computed_tokens: Prompt tokens that were not cached at the prefill.
        prefill_seconds: Time from sending the prefill to its result.
        prefill_hold_seconds: Time from the grant of the prefill reservation
            to the result of the prefill.
        decode_hold_seconds: Time from the grant of the decode reservation
            to the end of the attempt.
    """

    serves: str
    computed_tokens: int
    prefill_seconds: float
    prefill_hold_seconds: float
    decode_hold_seconds: float


@attrs.frozen
class AttemptGranted:
    """An agent granted the reservation of an attempt."""

    name: str
    upstream: str


@attrs.frozen
class AttemptEnded:
    """An attempt ended and no longer occupies its upstreams.

    Attributes:
        name: Name of the attempt's commitments in the view.
        upstreams: All upstreams with a commitment for the attempt.
        completed: Whether the attempt completed the response.
        durations: Durations of a completed attempt.
    """

    name: str
    upstreams: tuple[str, ...]
    completed: bool = False
    durations: AttemptDurations | None = None


@attrs.frozen
class DrainsChanged:
    """The drains in the configuration changed."""

    drains: tuple[Drain, ...]


@attrs.frozen
class UsableUpstreamsQuery:
    """Requests the number of upstreams that accept new work."""


@attrs.frozen
class PeerAddressesQuery:
    """Requests the addresses of the agents that the entry connects to."""
