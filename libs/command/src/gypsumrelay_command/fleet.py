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

from gypsumrelay_command.results import (
    DONE,
    INVALID,
    UNREACHABLE,
    Result,
    failure_result,
)
from gypsumrelay_command.session import open_session

MAX_CONCURRENT_REQUESTS: Final = 32
RENDERERS: Final = {
    'text': render_text,
    'json': render_json,
    'html': render_html,
}


def show_status(settings: Path) -> Result:
    """Return each instance's status and its lag in log offsets."""
    responses = query_instances(settings, '/status')
    if isinstance(responses, Result):
        return responses
    rows = [_status_row(instance, response) for instance, response in responses]
    newest = max((row['offset'] for row in rows), default=-1)
    for status_row in rows:
        behind = newest - status_row['offset']
        status_row['behind'] = behind if status_row['reachable'] else None
    lines = [_status_line(row) for row in rows]
    return Result(DONE, {'newest': newest, 'instances': rows}, lines)


def show_timeline(
    settings: Path,
    query: Query,
    format_name: str,
    output: Path | None,
) -> Result:
    """Return the merged events of all instances, or write them to a file."""
    format_failure = _check_format(format_name)
    if format_failure is not None:
        return format_failure
    responses = query_instances(settings, '/events')
    if isinstance(responses, Result):
        return responses
    instance_events = [
        (instance.name, _parse_events(response))
        for instance, response in responses
    ]
    event_lists = [
        events
        for _, events in instance_events
        if not isinstance(events, Failure)
    ]
    failed_instances = [
        name for name, events in instance_events if isinstance(events, Failure)
    ]
    selected = _SelectedEvents(
        select(merge(event_lists), query),
        failed_instances,
    )
    return _render(selected, format_name, output)


def show_logs(
    paths: Sequence[Path],
    query: Query,
    format_name: str,
    output: Path | None,
) -> Result:
    """Return the merged events of log files, or write them to a file."""
    format_failure = _check_format(format_name)
    if format_failure is not None:
        return format_failure
    try:
        logs = read_logs(paths)
    except OSError as error:
        return failure_result(INVALID, str(error.filename), str(error.strerror))
    notes = [
        f'{count} lines of {name} are not events'
        for name, count in logs.unreadable.items()
    ]
    notes.extend(
        f'clock of {name} corrected by {-offset} ms'
        for name, offset in logs.offsets_ms.items()
        if offset
    )
    matching = select_with_changes(logs.events, query)
    return _render(
        _SelectedEvents(matching, notes=notes),
        format_name,
        output,
    )


def _check_format(format_name: str) -> Result | None:
    if format_name in RENDERERS:
        return None
    allowed = f'format must be one of: {", ".join(RENDERERS)}'
    return failure_result(INVALID, 'format', allowed)


@attrs.frozen
class _SelectedEvents:
    """Selected events of a timeline.

    Attributes:
        events: The selected events.
        failed_instances: Instances that returned no valid events.
        notes: Further lines to print.
    """

    events: list[Event]
    failed_instances: list[str] = attrs.field(factory=list)
    notes: list[str] = attrs.field(factory=list)


def _render(
    selected: _SelectedEvents,
    format_name: str,
    output: Path | None,
) -> Result:
    text = RENDERERS[format_name](selected.events)
    document = {
        'events': events_to_json(selected.events),
        'silent': selected.failed_instances,
    }
    notes = [f'no events from {name}' for name in selected.failed_instances]
    notes.extend(selected.notes)
    if output is None:
        return Result(DONE, document, [*text.splitlines(), *notes])
    try:
        output.write_text(text)
    except OSError as error:
        return failure_result(INVALID, str(output), str(error.strerror))
    written = f'{len(selected.events)} events written to {output}'
    return Result(DONE, document, [written, *notes])


def query_instances(
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
    instance_list = session.instances.read()
    if isinstance(instance_list, PlatformUnavailable):
        return failure_result(
            UNREACHABLE,
            instance_list.code,
            instance_list.sentence,
        )
    pool = new_pool()

    def request_instance(instance: ListedInstance) -> Any:
        host, port = instance.admin_address
        return exchange(pool, 'GET', f'http://{host}:{port}{path}')

    with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as workers:
        responses = list(workers.map(request_instance, instance_list.instances))
    return list(zip(instance_list.instances, responses, strict=True))


def _parse_events(response: Any) -> list[Event] | Failure:
    return (
        response
        if isinstance(response, Failure)
        else events_from_json(response)
    )


def _status_row(instance: ListedInstance, response: Any) -> dict[str, Any]:
    status = response if isinstance(response, dict) else {}
    offset = status.get('offset')
    return {
        'name': instance.name,
        'incarnation': status.get('incarnation', instance.incarnation),
        'role': status.get('role', instance.role),
        'availability_zone': instance.availability_zone,
        'leaving': instance.leaving,
        'reachable': isinstance(offset, int),
        'offset': offset if isinstance(offset, int) else -1,
        'fault': response.sentence if isinstance(response, Failure) else '',
    }


def _status_line(row: dict[str, Any]) -> str:
    state = 'leaving' if row['leaving'] else 'live'
    prefix = f'{row["name"]} {row["role"]} {row["availability_zone"]} {state}'
    if not row['reachable']:
        return f'{prefix}: no status, {row["fault"] or "malformed answer"}'
    lag = f'{row["behind"]} behind' if row['behind'] else 'current'
    return f'{prefix}: offset {row["offset"]}, {lag}'
