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
MAX_TEXT_LENGTH: Final = 200
MAX_DETAIL_MEMBERS: Final = 16


def truncate_text(text: object) -> str:
    """Return the text truncated to `MAX_TEXT_LENGTH` characters."""
    return str(text)[:MAX_TEXT_LENGTH]


def limit_detail(detail: Mapping[str, Any]) -> dict[str, Detail]:
    """Return the detail limited to `MAX_DETAIL_MEMBERS` scalar members.

    Names and texts are truncated to `MAX_TEXT_LENGTH` characters, and nested
    values are converted to texts.
    """
    retained = list(detail.items())[:MAX_DETAIL_MEMBERS]
    return {
        truncate_text(name): _limit_member(member) for name, member in retained
    }


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
    instance: str = attrs.field(converter=truncate_text)
    part: str = attrs.field(converter=truncate_text)
    name: str = attrs.field(converter=truncate_text)
    request_id: str = attrs.field(default='', converter=truncate_text)
    client_account: str = attrs.field(default='', converter=truncate_text)
    upstream: str = attrs.field(default='', converter=truncate_text)
    detail: dict[str, Any] = attrs.field(
        factory=dict,
        converter=limit_detail,
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


def merge(event_lists: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of several processes, ordered by timestamp.

    Between processes that exchange timestamps, an effect never precedes its
    cause. Duplicates of an event are removed.
    """
    ordered = heapq.merge(
        *(sorted(event_list, key=_sort_key) for event_list in event_lists),
        key=_sort_key,
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


def _sort_key(event: Event) -> tuple[Stamp, str]:
    return event.stamp, event.instance


def _matches(event: Event, query: Query) -> bool:
    conditions = (
        (query.request_id, event.request_id),
        (query.client_account, event.client_account),
        (query.upstream, event.upstream),
    )
    if any(expected and expected != actual for expected, actual in conditions):
        return False
    wall_ms = event.stamp.wall_ms
    if query.end_ms is not None and wall_ms > query.end_ms:
        return False
    return wall_ms >= query.begin_ms


def _limit_member(member: object) -> Detail:
    if member is None or isinstance(member, (bool, int, float)):
        return member
    return truncate_text(member)
