"""Commands that query every listed instance: `status` and `timeline`."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

import attrs
from gypsumrelay_errors import Failure, PlatformUnavailable
from gypsumrelay_platform import ListedInstance, exchange, new_pool
from gypsumrelay_timeline import (
    Event,
    Query,
    events_from_json,
    events_to_json,
    merge,
    read_logs,
    render_html,
    render_json,
    render_text,
    select,
    select_with_changes,
)

from gypsumrelay_command.exits import (
    DONE,
    INVALID,
    UNREACHABLE,
    Result,
    failure,
)
from gypsumrelay_command.session import open_session

ASKED_AT_ONCE: Final = 32
RENDERERS: Final = {
    'text': render_text,
    'json': render_json,
    'html': render_html,
}


def show_status(settings: Path) -> Result:
    """Return each instance's status and its lag in log offsets."""
    answers = ask_all(settings, '/status')
    if isinstance(answers, Result):
        return answers
    rows = [_row(instance, found) for instance, found in answers]
    newest = max((row['offset'] for row in rows), default=-1)
    for answered in rows:
        behind = newest - answered['offset']
        answered['behind'] = behind if answered['reachable'] else None
    lines = [_status_line(listed) for listed in rows]
    return Result(DONE, {'newest': newest, 'instances': rows}, lines)


def show_timeline(
    settings: Path,
    query: Query,
    style: str,
    output: Path | None,
) -> Result:
    """Return the merged events of all instances, or write them to a file."""
    fault = _check_style(style)
    if fault is not None:
        return fault
    answers = ask_all(settings, '/events')
    if isinstance(answers, Result):
        return answers
    rings = [(instance.name, _events(found)) for instance, found in answers]
    sound = [ring for _, ring in rings if not isinstance(ring, Failure)]
    silent = [name for name, ring in rings if isinstance(ring, Failure)]
    shown = _Shown(select(merge(sound), query), silent)
    return _render(shown, style, output)


def show_logs(
    paths: Sequence[Path],
    query: Query,
    style: str,
    output: Path | None,
) -> Result:
    """Return the merged events of log files, or write them to a file."""
    fault = _check_style(style)
    if fault is not None:
        return fault
    try:
        logs = read_logs(paths)
    except OSError as error:
        return failure(INVALID, str(error.filename), str(error.strerror))
    notes = [
        f'{count} lines of {name} are not events'
        for name, count in logs.unreadable.items()
    ]
    notes.extend(
        f'clock of {name} corrected by {-offset} ms'
        for name, offset in logs.offsets_ms.items()
        if offset
    )
    found = select_with_changes(logs.events, query)
    return _render(_Shown(found, notes=notes), style, output)


def _check_style(style: str) -> Result | None:
    if style in RENDERERS:
        return None
    allowed = f'format must be one of: {", ".join(RENDERERS)}'
    return failure(INVALID, 'format', allowed)


@attrs.frozen
class _Shown:
    """Selected events of a timeline.

    Attributes:
        events: The selected events.
        silent: Instances that returned no valid events.
        notes: Further lines to print.
    """

    events: list[Event]
    silent: list[str] = attrs.field(factory=list)
    notes: list[str] = attrs.field(factory=list)


def _render(shown: _Shown, style: str, output: Path | None) -> Result:
    text = RENDERERS[style](shown.events)
    document = {
        'events': events_to_json(shown.events),
        'silent': shown.silent,
    }
    notes = [f'no events from {name}' for name in shown.silent]
    notes.extend(shown.notes)
    if output is None:
        return Result(DONE, document, [*text.splitlines(), *notes])
    try:
        output.write_text(text)
    except OSError as error:
        return failure(INVALID, str(output), str(error.strerror))
    written = f'{len(shown.events)} events written to {output}'
    return Result(DONE, document, [written, *notes])


def ask_all(
    settings: Path,
    path: str,
) -> list[tuple[ListedInstance, Any]] | Result:
    """Return each listed instance with its response or a failure.

    Args:
        settings: The operator settings file.
        path: Path of the administration API to request.
    """
    session = open_session(settings)
    if isinstance(session, Result):
        return session
    listing = session.instances.read()
    if isinstance(listing, PlatformUnavailable):
        return failure(UNREACHABLE, listing.code, listing.sentence)
    pool = new_pool()

    def ask(instance: ListedInstance) -> Any:
        host, port = instance.admin_address
        return exchange(pool, 'GET', f'http://{host}:{port}{path}')

    with ThreadPoolExecutor(ASKED_AT_ONCE) as workers:
        answers = list(workers.map(ask, listing.instances))
    return list(zip(listing.instances, answers, strict=True))


def _events(found: Any) -> list[Event] | Failure:
    return found if isinstance(found, Failure) else events_from_json(found)


def _row(instance: ListedInstance, found: Any) -> dict[str, Any]:
    answer = found if isinstance(found, dict) else {}
    offset = answer.get('offset')
    return {
        'name': instance.name,
        'incarnation': answer.get('incarnation', instance.incarnation),
        'role': answer.get('role', instance.role),
        'availability_zone': instance.availability_zone,
        'leaving': instance.leaving,
        'reachable': isinstance(offset, int),
        'offset': offset if isinstance(offset, int) else -1,
        'fault': found.sentence if isinstance(found, Failure) else '',
    }


def _status_line(row: dict[str, Any]) -> str:
    state = 'leaving' if row['leaving'] else 'live'
    where = f'{row["name"]} {row["role"]} {row["availability_zone"]} {state}'
    if not row['reachable']:
        return f'{where}: no status, {row["fault"] or "malformed answer"}'
    lag = f'{row["behind"]} behind' if row['behind'] else 'current'
    return f'{where}: offset {row["offset"]}, {lag}'
