"""Scheduling of weight loads by the time slots of the weight store."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class AskStore:
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
        answer_seconds: Time after which an unanswered request to the store
            is repeated.
        slack_seconds: Time after the start of a slot at which it expires,
            so that a paused agent does not load in the slot of another.
        wanted: Sizes in bytes by name of the weights, in order of arrival.
        asked_at: Time of the last request to the store, -inf for none.
        start_at: Start of the granted slot, inf for none.
        loading: Name of the weights that are being loaded, '' for none.
    """

    answer_seconds: float = 2
    slack_seconds: float = 1
    wanted: dict[str, int] = attrs.field(factory=dict)
    asked_at: float = -math.inf
    start_at: float = math.inf
    loading: str = ''


def next_load(loads: WeightLoads, now: float) -> AskStore | StartLoad | None:
    """Return the next step of the first pending load, None if it waits."""
    if loads.loading or not loads.wanted:
        return None
    name = next(iter(loads.wanted))
    if loads.start_at < math.inf:
        return _use_slot(loads, name, now)
    if now < loads.asked_at + loads.answer_seconds:
        return None
    return _ask(loads, name, now)


def store_answered(
    loads: WeightLoads,
    asked_at: float,
    start_in_seconds: float,
    now: float,
) -> None:
    """Store the slot from the store's response to the last request.

    The start is relative to the arrival of the response, so that a slow
    response delays the load but never makes it start early.
    """
    if asked_at == loads.asked_at and math.isinf(loads.start_at):
        loads.start_at = now + max(0, start_in_seconds)


def load_ended(loads: WeightLoads, name: str) -> None:
    """Remove a load that completed, failed or is no longer needed."""
    first = next(iter(loads.wanted), '')
    loads.wanted.pop(name, None)
    if loads.loading == name:
        loads.loading = ''
    if first == name:
        loads.start_at = math.inf
        loads.asked_at = -math.inf


def _use_slot(
    loads: WeightLoads,
    name: str,
    now: float,
) -> AskStore | StartLoad | None:
    if now < loads.start_at:
        return None
    if now > loads.start_at + loads.slack_seconds:
        return _ask(loads, name, now)
    loads.loading = name
    return StartLoad(name)


def _ask(loads: WeightLoads, name: str, now: float) -> AskStore:
    loads.asked_at = now
    loads.start_at = math.inf
    return AskStore(name, loads.wanted[name])
