"""Placements as a relay uses them, and the messages that carry them."""

from __future__ import annotations

from typing import Final

import attrs
from gypsumrelay_dispatch import (
    Ending,
    Granted,
    Need,
    Place,
    Refused,
)
from gypsumrelay_errors import (
    Failure,
    NoUpstream,
    Overloaded,
    RateExceeded,
    RequestQuarantined,
)
from gypsumrelay_wire import (
    PlaceGranted,
    PlaceHeld,
    PlaceRefused,
    PlaceRequest,
    to_deadline,
    to_remaining_ms,
    to_retry_at,
    to_retry_ms,
)

MS_PER_SECOND: Final = 1000
# Longest time in seconds for which a placement that another coordinator granted
# is counted; no request runs longer.
REPORTED_SECONDS: Final = 20.0

# Failures that a coordinator returns; an unknown code is handled as overload.
_FAILURES: Final = {
    kind.code: kind
    for kind in (NoUpstream, Overloaded, RateExceeded, RequestQuarantined)
}


@attrs.frozen
class Placement:
    """The upstreams that were granted to one attempt.

    Attributes:
        need: The request for this placement.
        upstream: Name of the upstream that runs the attempt.
        address: Its `host:port`.
        prefill: Name of the upstream that computes the prompt's KV cache; empty
            if `upstream` does that itself.
        prefill_address: Its `host:port`.
        load: Requests or tokens in use at the upstream before the grant.
        waited_ms: Time in milliseconds that the request was queued.
        list_position: Position of the list of upstreams that was used.
    """

    need: Need
    upstream: str
    address: str
    prefill: str = ''
    prefill_address: str = ''
    load: int = 0
    waited_ms: int = 0
    list_position: int = -1


def granted_placement(granted: Granted) -> Placement:
    """Return a grant as the placement of the requesting relay."""
    prefill = granted.prefill
    return Placement(
        granted.need,
        granted.upstream.name,
        granted.upstream.address,
        prefill.name if prefill else '',
        prefill.address if prefill else '',
        granted.load,
        int(granted.waited_seconds * MS_PER_SECOND),
        granted.list_position,
    )


def request_message(need: Need, now: float) -> PlaceRequest:
    """Return the message that requests a placement."""
    return PlaceRequest(
        request_id=need.request_id,
        attempt=need.attempt,
        availability_zone=need.availability_zone,
        service=need.service,
        client_account=need.client_account,
        cost_tokens=need.cost_tokens,
        priority=need.priority,
        aim_ms=to_remaining_ms(need.aim_at, now),
        remaining_ms=to_remaining_ms(need.deadline, now),
        prompt_tokens=need.prompt_tokens,
        output_tokens=need.output_tokens,
        expected_tokens=need.expected_tokens,
        read=need.read,
        excluded=sorted(need.excluded),
        digest=need.digest,
        wait_ms=to_remaining_ms(need.wait_until, now),
        reread=need.reread,
        resumed=need.resumed,
    )


def need_from_message(message: PlaceRequest, entry: str, now: float) -> Need:
    """Return the placement request in a message from another relay."""
    return Need(
        request_id=message.request_id,
        attempt=message.attempt,
        entry=entry,
        availability_zone=message.availability_zone,
        service=message.service,
        client_account=message.client_account,
        cost_tokens=message.cost_tokens,
        priority=message.priority,
        aim_at=to_deadline(message.aim_ms, now),
        deadline=to_deadline(message.remaining_ms, now),
        wait_until=to_deadline(message.wait_ms, now),
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        expected_tokens=message.expected_tokens,
        read=message.read,
        reread=message.reread,
        resumed=message.resumed,
        excluded=frozenset(message.excluded),
        digest=message.digest,
    )


def answer_message(
    action: Granted | Refused,
    now: float,
) -> PlaceGranted | PlaceRefused:
    """Return the message that answers a placement request."""
    need = action.need
    if isinstance(action, Refused):
        failure = action.failure
        return PlaceRefused(
            need.request_id,
            need.attempt,
            failure.code,
            failure.sentence,
            to_retry_ms(failure.retry_at, now),
        )
    placement = granted_placement(action)
    return PlaceGranted(
        need.request_id,
        need.attempt,
        placement.upstream,
        placement.address,
        placement.prefill,
        placement.prefill_address,
        placement.load,
        placement.waited_ms,
        placement.list_position,
    )


def answer_from_message(
    message: PlaceGranted | PlaceRefused,
    need: Need,
    now: float,
) -> Placement | Failure:
    """Return the coordinator's answer to a request of this relay."""
    if isinstance(message, PlaceRefused):
        kind = _FAILURES.get(message.code, Overloaded)
        return kind(
            message.sentence,
            retry_at=to_retry_at(message.retry_ms, now),
        )
    return Placement(
        need,
        message.upstream,
        message.address,
        message.prefill,
        message.prefill_address,
        message.load,
        message.waited_ms,
        message.list_position,
    )


def report_message(placement: Placement) -> PlaceHeld:
    """Return the message that reports a placement to a new coordinator."""
    need = placement.need
    return PlaceHeld(
        need.request_id,
        need.attempt,
        need.service,
        need.prompt_tokens,
        need.output_tokens,
        need.expected_tokens,
        placement.upstream,
        need.digest,
    )


def reported_placement(message: PlaceHeld, entry: str, now: float) -> Place:
    """Return the reported placement in a message from another relay."""
    need = Need(
        request_id=message.request_id,
        attempt=message.attempt,
        entry=entry,
        availability_zone='',
        service=message.service,
        client_account='',
        cost_tokens=0,
        priority=0,
        aim_at=now,
        deadline=now + REPORTED_SECONDS,
        wait_until=now,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        expected_tokens=message.expected_tokens,
        digest=message.digest,
    )
    return Place(need, message.upstream, '', 0, now, started_at=now)


def own_placement(placement: Placement, now: float) -> Place:
    """Return a placement of this relay for its own coordinator's state."""
    return Place(placement.need, placement.upstream, '', 0, now, started_at=now)


def parse_ending(text: str) -> Ending:
    """Return the ending in a message; an unknown one counts as cancelled."""
    try:
        return Ending(text)
    except ValueError:
        return Ending.cancelled
