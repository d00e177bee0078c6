"""Scheduling of weight loads by the time slots of the weight store."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class RequestSlot:
    """Request a time slot for a load from the weight store."""

    name: str
    size: int


@attrs.frozen
class StartLoad:
    """Send the fenced command that loads the weights."""

    name: str


@attrs.define
class WeightLoads:
    """Sequential weight loads of one upstream.

    Attributes:
        response_seconds: Time after which an unanswered request to the store
            is repeated.
        slack_seconds: Time after the start of a slot at which it expires,
            so that a paused agent does not load in the slot of another.
        pending: Sizes in bytes by name of the weights, in order of arrival.
        requested_at: Time of the last request to the store, -inf for none.
        start_at: Start of the granted slot, inf for none.
        loading: Name of the weights that are being loaded, '' for none.
    """

    response_seconds: float = 2
    slack_seconds: float = 1
    pending: dict[str, int] = attrs.field(factory=dict)
    requested_at: float = -math.inf
    start_at: float = math.inf
    loading: str = ''


def next_load(loads: WeightLoads, now: float) -> RequestSlot | StartLoad | None:
    """Return the next step of the first pending load, None if it waits."""
    if loads.loading or not loads.pending:
        return None
    name = next(iter(loads.pending))
    if loads.start_at < math.inf:
        return _use_slot(loads, name, now)
    if now < loads.requested_at + loads.response_seconds:
        return None
    return _request_slot(loads, name, now)


def record_slot(
    loads: WeightLoads,
    requested_at: float,
    start_in_seconds: float,
    now: float,
) -> None:
    """Store the slot from the store's response to the last request.

    The start is relative to the arrival of the response, so that a slow
    response delays the load but never makes it start early.
    """
    if requested_at == loads.requested_at and math.isinf(loads.start_at):
        loads.start_at = now + max(0, start_in_seconds)


def remove_load(loads: WeightLoads, name: str) -> None:
    """Remove a load that completed, failed or is no longer needed."""
    first = next(iter(loads.pending), '')
    loads.pending.pop(name, None)
    if loads.loading == name:
        loads.loading = ''
    if first == name:
        loads.start_at = math.inf
        loads.requested_at = -math.inf


def _use_slot(
    loads: WeightLoads,
    name: str,
    now: float,
) -> RequestSlot | StartLoad | None:
    if now < loads.start_at:
        return None
    if now > loads.start_at + loads.slack_seconds:
        return _request_slot(loads, name, now)
    loads.loading = name
    return StartLoad(name)


def _request_slot(loads: WeightLoads, name: str, now: float) -> RequestSlot:
    loads.requested_at = now
    loads.start_at = math.inf
    return RequestSlot(name, loads.pending[name])
