"""Events, their JSON form, and selections of them."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from typing import Any, Final

import attrs
import cattrs
from gypsumrelay_errors import BodyMalformed

from gypsumrelay_timeline.clock import Stamp

Detail = str | int | float | bool | None

# Bounds on one event, so that a full ring has a known size.
TEXT_LIMIT: Final = 200
DETAIL_LIMIT: Final = 16


def bounded_text(text: object) -> str:
    """Return a text cut to what one event may hold."""
    return str(text)[:TEXT_LIMIT]


def bounded_detail(detail: Mapping[str, Any]) -> dict[str, Detail]:
    """Return a detail with few, short and flat members."""
    kept = list(detail.items())[:DETAIL_LIMIT]
    return {bounded_text(name): _bounded(member) for name, member in kept}


@attrs.frozen
class Event:
    """Something that happened in one process.

    Attributes:
        stamp: When, on the hybrid logical clock.
        instance: Name of the process that recorded it.
        part: Component of the process, like `admission`.
        name: What happened, like `reserved`.
        request_id: The request that it belongs to, if any.
        client_account: The account that it belongs to, if any.
        upstream: The upstream that it belongs to, if any.
        detail: A few flat members; longer ones are cut.
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
    """Which events to keep; an empty member keeps all.

    Attributes:
        begin_ms: First wall time that is kept.
        end_ms: Last wall time that is kept.
    """

    request_id: str = ''
    client_account: str = ''
    upstream: str = ''
    begin_ms: int = 0
    end_ms: int | None = None


def merge(rings: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of several processes in one order.

    The order respects cause and effect between processes that exchange
    stamps. An event that appears in several lists is returned once.
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
    """Return the events that match all members of a query."""
    return [event for event in events if _matches(event, query)]


def events_to_json(events: Iterable[Event]) -> list[dict[str, Any]]:
    """Return events as JSON-ready data."""
    return [cattrs.unstructure(event) for event in events]


def events_from_json(raw: object) -> list[Event] | BodyMalformed:
    """Return the events in JSON data of another process."""
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
