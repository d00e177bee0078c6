"""Spacing of weight loads by the answers of the weight store."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class AskStore:
    """Ask the weight store when a load may start."""

    name: str
    size: int


@attrs.frozen
class StartLoad:
    """Send the fenced command that loads the weights."""

    name: str


@attrs.define
class WeightLoads:
    """Loads that an upstream is to do, one after the other.

    Attributes:
        answer_seconds: Time after which the store is asked again.
        slack_seconds: Time after its start by which a slot is used up; a
            paused agent must not load in the time of another.
        wanted: Sizes in bytes by name, in order of arrival.
        asked_at: Instant of the open question, or -inf.
        start_at: Start of the slot, or inf without one.
        loading: Name of the weights being loaded, or ''.
    """

    answer_seconds: float = 2
    slack_seconds: float = 1
    wanted: dict[str, int] = attrs.field(factory=dict)
    asked_at: float = -math.inf
    start_at: float = math.inf
    loading: str = ''


def next_load(loads: WeightLoads, now: float) -> AskStore | StartLoad | None:
    """Return the next step of the first load that is wanted."""
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
    """Take over the store's answer to the newest question.

    The slot counts from the arrival of the answer, so a slow answer makes
    the load late and never early.
    """
    if asked_at == loads.asked_at and math.isinf(loads.start_at):
        loads.start_at = now + max(0, start_in_seconds)


def load_ended(loads: WeightLoads, name: str) -> None:
    """Take note that a load is done, failed or no longer wanted."""
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
