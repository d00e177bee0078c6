"""Events: their data model, JSON conversion, merging and filtering."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from typing import Any, Final

import attrs
import cattrs
from gypsumrelay_errors import BodyMalformed

from gypsumrelay_timeline.clock import Stamp

Detail = str | int | float | bool | None

# Limits of one event in characters and members, so that the memory of a full
# ring buffer is bounded.
TEXT_LIMIT: Final = 200
DETAIL_LIMIT: Final = 16


def bounded_text(text: object) -> str:
    """Return the text truncated to `TEXT_LIMIT` characters."""
    return str(text)[:TEXT_LIMIT]


def bounded_detail(detail: Mapping[str, Any]) -> dict[str, Detail]:
    """Return the detail limited to `DETAIL_LIMIT` scalar members.

    Names and texts are truncated to `TEXT_LIMIT` characters, and nested
    values are converted to texts.
    """
    kept = list(detail.items())[:DETAIL_LIMIT]
    return {bounded_text(name): _bounded(member) for name, member in kept}


@attrs.frozen
class Event:
    """Event recorded by one process.

    Attributes:
        stamp: Timestamp of the hybrid logical clock.
        instance: Name of the process that recorded the event.
        part: Component of the process, such as `admission`.
        name: Name of the event, such as `reserved`.
        request_id: Request of the event; empty without one.
        client_account: Client account of the event; empty without one.
        upstream: Upstream of the event; empty without one.
        detail: Additional scalar values by name; long texts are truncated.
    """

    stamp: Stamp
    instance: str = attrs.field(converter=bounded_text)
    part: str = attrs.field(converter=bounded_text)
    name: str = attrs.field(converter=bounded_text)
    request_id: str = attrs.field(default='', converter=bounded_text)
    client_account: str = attrs.field(default='', converter=bounded_text)
    upstream: str = attrs.field(default='', converter=bounded_text)
    detail: dict[str, Any] = attrs.field(
        factory=dict,
        converter=bounded_detail,
    )


@attrs.frozen
class Query:
    """Filter on events; an empty attribute matches every event.

    Attributes:
        request_id: Request of the events.
        client_account: Client account of the events.
        upstream: Upstream of the events.
        begin_ms: First matching wall time, in milliseconds.
        end_ms: Last matching wall time, in milliseconds; None for no end.
    """

    request_id: str = ''
    client_account: str = ''
    upstream: str = ''
    begin_ms: int = 0
    end_ms: int | None = None


def merge(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of several processes, ordered by timestamp.

    Between processes that exchange timestamps, an effect never precedes its
    cause. Duplicates of an event are removed.
    """
    ordered = heapq.merge(
        *(sorted(ring, key=_position) for ring in rings),
        key=_position,
    )
    merged: list[Event] = []
    for event in ordered:
        if not merged or event != merged[-1]:
            merged.append(event)
    return merged


def select(events: Iterable[Event], query: Query) -> list[Event]:
    """Return the events that match every attribute of a query."""
    return [event for event in events if _matches(event, query)]


def events_to_json(events: Iterable[Event]) -> list[dict[str, Any]]:
    """Return events as data that the `json` module can serialize."""
    return [cattrs.unstructure(event) for event in events]


def events_from_json(raw: object) -> list[Event] | BodyMalformed:
    """Return events parsed from JSON data, or a failure if malformed."""
    if not isinstance(raw, list):
        return BodyMalformed('the events of the instance are not a list')
    try:
        return cattrs.structure(raw, list[Event])
    except (
        cattrs.BaseValidationError,
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
    ):
        return BodyMalformed('the events of the instance are malformed')


def _position(event: Event) -> tuple[Stamp, str]:
    return event.stamp, event.instance


def _matches(event: Event, query: Query) -> bool:
    wanted = (
        (query.request_id, event.request_id),
        (query.client_account, event.client_account),
        (query.upstream, event.upstream),
    )
    if any(want and want != found for want, found in wanted):
        return False
    wall_ms = event.stamp.wall_ms
    if query.end_ms is not None and wall_ms > query.end_ms:
        return False
    return wall_ms >= query.begin_ms


def _bounded(member: object) -> Detail:
    if member is None or isinstance(member, (bool, int, float)):
        return member
    return bounded_text(member)
