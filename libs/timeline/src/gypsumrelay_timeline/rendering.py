"""Timelines rendered as text, JSON or a self-contained HTML page."""

from __future__ import annotations

import datetime
import html
import json
from collections.abc import Iterable, Sequence
from typing import Final

from gypsumrelay_timeline.events import Event, events_to_json

MS_PER_SECOND: Final = 1000
FULL_WIDTH_PERCENT: Final = 100

# The content security policy prevents the browser from running scripts or
# loading resources that an event's text might contain.
_HEAD: Final = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
 content="default-src 'none'; style-src 'unsafe-inline'">
<title>gypsumrelay timeline</title>
<style>
body { font: 14px sans-serif; margin: 1em; color: #222; background: #fff }
.lane { display: flex; align-items: center; margin: 2px 0 }
.lane b { width: 12em; overflow: hidden; text-overflow: ellipsis }
.track { position: relative; flex: 1; height: 1.6em; background: #eef }
.track i { position: absolute; top: .2em; width: 3px; height: 1.2em;
 background: #236 }
table { border-collapse: collapse; margin-top: 1em }
td, th { text-align: left; padding: 1px 8px; border-bottom: 1px solid #ddd }
</style></head><body>
"""
_COLUMNS: Final = (
    'time',
    'instance',
    'part',
    'event',
    'request',
    'client account',
    'upstream',
    'detail',
)


def render_text(events: Iterable[Event]) -> str:
    """Return a text with one line for each event."""
    return ''.join(f'{_text_line(event)}\n' for event in events)


def render_json(events: Iterable[Event]) -> str:
    """Return the events as a JSON array."""
    return json.dumps(events_to_json(events), indent=1, ensure_ascii=False)


def render_html(events: Sequence[Event]) -> str:
    """Return an HTML page with one lane for each process and a table below.

    The page loads no external resources, and all text is escaped.
    """
    instances = sorted({event.instance for event in events})
    lanes = [_lane(instance, events) for instance in instances]
    headings = ''.join(f'<th>{name}</th>' for name in _COLUMNS)
    rows = [_row(event) for event in events]
    return ''.join(
        (
            _HEAD,
            *lanes,
            f'<table><tr>{headings}</tr>\n',
            *rows,
            '</table></body></html>\n',
        ),
    )


def format_time(wall_ms: int) -> str:
    """Return a wall time formatted in UTC with milliseconds.

    A time out of the range of `datetime` is returned as a plain number.
    """
    try:
        moment = datetime.datetime.fromtimestamp(
            wall_ms / MS_PER_SECOND,
            datetime.UTC,
        )
    except (OverflowError, ValueError, OSError):
        return str(wall_ms)
    return moment.isoformat(sep=' ', timespec='milliseconds')[: -len('+00:00')]


def _text_line(event: Event) -> str:
    members = (
        ('request', event.request_id),
        ('account', event.client_account),
        ('upstream', event.upstream),
        *event.detail.items(),
    )
    shown = [
        _escape_control(f'{name}={member}')
        for name, member in members
        if member != ''
    ]
    source = f'{_escape_control(event.instance)} {_escape_control(event.part)}'
    return ' '.join(
        (_format_stamp(event), source, _escape_control(event.name), *shown),
    )


def _format_stamp(event: Event) -> str:
    moment = format_time(event.stamp.wall_ms)
    return f'{moment}+{event.stamp.counter}'


def _escape_control(text: object) -> str:
    """Return the text with non-printable characters escaped.

    Terminals would interpret control characters in an event's text.
    """
    return ''.join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in str(text)
    )


def _lane(instance: str, events: Sequence[Event]) -> str:
    first_ms = events[0].stamp.wall_ms
    span = max(event.stamp.wall_ms for event in events) - first_ms
    marks = [
        _event_mark(event, (event.stamp.wall_ms - first_ms) / max(span, 1))
        for event in events
        if event.instance == instance
    ]
    name = html.escape(instance)
    return (
        f'<div class="lane"><b title="{name}">{name}</b>'
        f'<div class="track">{"".join(marks)}</div></div>\n'
    )


def _event_mark(event: Event, fraction: float) -> str:
    left = round(fraction * FULL_WIDTH_PERCENT, 3)
    title = html.escape(_text_line(event))
    return f'<i style="left:{left}%" title="{title}"></i>'


def _row(event: Event) -> str:
    detail = [f'{name}={member}' for name, member in event.detail.items()]
    cells = (
        _format_stamp(event),
        event.instance,
        event.part,
        event.name,
        event.request_id,
        event.client_account,
        event.upstream,
        ' '.join(detail),
    )
    shown = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
    return f'<tr>{shown}</tr>\n'
