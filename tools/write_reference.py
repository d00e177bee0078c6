"""Writes the reference of settings and documents from the attrs classes."""

from __future__ import annotations

import inspect
import json
import sys
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import attrs
import gypsumrelay_configuration as configuration
import gypsumrelay_settings as settings
from gypsumrelay_relay.events import requests as request_events
from gypsumrelay_relay.events import state as state_events

FOLDER = Path(__file__).resolve().parent.parent / 'docs' / 'operators'
TYPE_NAMES = {str: 'string', int: 'integer', float: 'number', bool: 'boolean'}
EVENTS_PAGE = 'events.md'
PAGES = {
    'settings.md': (
        settings.EntrySettings,
        settings.AgentSettings,
        settings.OperatorSettings,
        settings.InstanceSettings,
        settings.PlatformSettings,
        settings.CallerSettings,
        settings.RoutingSettings,
        settings.UpstreamSettings,
        settings.EvidenceSettings,
        settings.TelemetrySettings,
        settings.RelaySettings,
        settings.RelayInstance,
        settings.StoreSettings,
        settings.DispatchSettings,
        settings.ShutdownSettings,
        settings.CapacitySettings,
        settings.RolloutSettings,
    ),
    'configuration.md': (
        configuration.Configuration,
        configuration.Model,
        configuration.Route,
        configuration.Contract,
    ),
}


def render_page(name: str) -> str:
    """Return a page: its existing introduction and the generated tables."""
    introduction = (FOLDER / name).read_text().split('\n## ')[0]
    if name == EVENTS_PAGE:
        return render_events_page(introduction)
    sections = [render_section(kind) for kind in PAGES[name]]
    return '\n'.join((introduction, *sections))


def render_section(kind: Any) -> str:
    """Return the section with the table of a class's fields."""
    documentation = inspect.getdoc(kind) or ''
    title = documentation.split('\n')[0]
    notes = field_descriptions(documentation)
    rows = [
        f'| `{field.name}` | {type_name(get_type_hints(kind)[field.name])} | '
        f'{allowed(field)} | {default(field)} | {notes.get(field.name, "")} |'
        for field in attrs.fields(kind)
    ]
    head = '| name | type | allowed | default | meaning |\n'
    rule = '| --- | --- | --- | --- | --- |\n'
    return f'## {kind.__name__}\n\n{title}\n\n{head}{rule}{_lines(rows)}'


def render_events_page(introduction: str) -> str:
    """Return the page of log events with one section per event class."""
    decisions = [
        one for one in _leaves(request_events.RequestEvent) if one.event
    ]
    changes = [one for one in _leaves(state_events.StateChange) if one.event]
    kinds = sorted([*decisions, *changes], key=lambda one: one.event)
    return '\n'.join((introduction, *map(render_event_section, kinds)))


def render_event_section(kind: Any) -> str:
    """Return the section with the table of an event's fields."""
    notes: dict[str, str] = {}
    for base in reversed(kind.__mro__):
        notes |= field_descriptions(inspect.getdoc(base) or '')
    title = (inspect.getdoc(kind) or '').split('\n')[0]
    routine = getattr(kind, 'routine', False)
    pressure = 'sampled' if routine else 'kept'
    rows = [
        f'| `{field.name}` | {type_name(get_type_hints(kind)[field.name])} | '
        f'{notes.get(field.name, "")} |'
        for field in attrs.fields(kind)
    ]
    head = '| field | type | meaning |\n| --- | --- | --- |\n'
    intro = f'{title} Under pressure: {pressure}.'
    return f'## {kind.event}\n\n{intro}\n\n{head}{_lines(rows)}'


def _leaves(kind: Any) -> list[Any]:
    """Return the derived classes that have no subclasses."""
    found = []
    for derived in kind.__subclasses__():
        found.extend(_leaves(derived) or [derived])
    # attrs replaces slotted classes; __subclasses__ lists both versions.
    return list({one.__name__: one for one in found}.values())


def field_descriptions(documentation: str) -> dict[str, str]:
    """Return field descriptions from a docstring's Attributes section."""
    found: dict[str, str] = {}
    name = ''
    for line in documentation.partition('Attributes:\n')[2].split('\n'):
        if line.startswith('    ') and not line.startswith('     '):
            name, _, text = line.strip().partition(': ')
            found[name] = text
        elif line.strip():
            found[name] = f'{found[name]} {line.strip()}'
    return found


def type_name(hint: Any) -> str:
    """Return the JSON type name of a type hint."""
    if get_origin(hint) is tuple:
        return f'array of {type_name(get_args(hint)[0])}'
    if attrs.has(hint):
        return f'[{hint.__name__}](#{hint.__name__.lower()})'
    return TYPE_NAMES[hint]


def allowed(field: Any) -> str:
    """Return the allowed range of a field, or an empty text."""
    span = field.metadata.get('range')
    return f'{span.low} to {span.high}' if span else ''


def default(field: Any) -> str:
    """Return a field's default as it is shown in the table."""
    if field.default is attrs.NOTHING:
        return 'needed'
    if attrs.has(type(field.default)):
        return 'its defaults'
    return f'`{json.dumps(field.default)}`'


def _lines(rows: list[str]) -> str:
    return ''.join(f'{row}\n' for row in rows)


def main() -> int:
    """Write outdated pages; with --check, return 1 if there are any."""
    names = (*PAGES, EVENTS_PAGE)
    stale = [name for name in names if not is_current(name)]
    if '--check' in sys.argv:
        print('stale:', *stale)
        return 1 if stale else 0
    for name in stale:
        (FOLDER / name).write_text(render_page(name))
    return 0


def is_current(name: str) -> bool:
    """Return whether a page matches the current classes."""
    return (FOLDER / name).read_text() == render_page(name)


if __name__ == '__main__':
    sys.exit(main())
