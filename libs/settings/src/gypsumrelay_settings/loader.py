"""Load settings from JSON and report all invalid values at once."""

from __future__ import annotations

import json
import types
from collections import Counter
from functools import cache
from typing import (
    TYPE_CHECKING,
    Any,
    Final,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import attrs

from gypsumrelay_settings.models import Range

if TYPE_CHECKING:
    from pathlib import Path

Settings = TypeVar('Settings')

_TYPE_NAMES: Final = types.MappingProxyType(
    {str: 'a string', int: 'an integer', float: 'a number', bool: 'a boolean'},
)
MAX_FOUND_LENGTH: Final = 60


@attrs.frozen
class SettingsFault:
    """One invalid value in a settings file.

    Attributes:
        path: JSON path of the value, such as `$.caller.port`.
        found: The invalid value, as JSON.
        allowed: Description of the valid values.
    """

    path: str
    found: str
    allowed: str


@attrs.frozen
class SettingsFaults:
    """All invalid values of a settings file."""

    faults: tuple[SettingsFault, ...]


def load_file(path: Path, kind: type[Settings]) -> Settings | SettingsFaults:
    """Return the settings in a JSON file, or all its invalid values."""
    raw = read_json(path)
    return raw if isinstance(raw, SettingsFaults) else load(raw, kind)


def read_json(path: Path) -> Any | SettingsFaults:
    """Return the JSON data in a file, or the reasons why it is invalid.

    A duplicate name in an object is invalid, because it is unknown which of
    the two values was intended.
    """
    duplicates: list[str] = []

    def collect(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        counted = Counter(name for name, _ in pairs)
        duplicates.extend(name for name in counted if counted[name] > 1)
        return dict(pairs)

    try:
        raw = json.loads(path.read_text(), object_pairs_hook=collect)
    except OSError as error:
        return _single_fault('$', str(error.strerror), 'a readable file')
    except (ValueError, RecursionError) as error:
        return _single_fault('$', str(error), 'JSON')
    faults = [
        SettingsFault(f'$..{name}', 'a duplicate name', 'a unique name')
        for name in duplicates
    ]
    return SettingsFaults(tuple(faults)) if faults else raw


def load(raw: object, kind: type[Settings]) -> Settings | SettingsFaults:
    """Return the settings in JSON data, or all its invalid values."""
    faults = check(raw, kind, '$')
    if faults:
        return SettingsFaults(tuple(faults))
    settings: Settings = _build(raw, kind)
    return settings


def _build(raw: Any, hint: Any) -> Any:
    """Return checked JSON data as the type that a hint names.

    A converter library takes about 10 ms of processor time at each
    start.
    """
    if attrs.has(hint):
        hints = _hints(hint)
        return hint(
            **{name: _build(part, hints[name]) for name, part in raw.items()}
        )
    if get_origin(hint) is tuple:
        element_hint = get_args(hint)[0]
        return tuple(_build(element, element_hint) for element in raw)
    return float(raw) if hint is float else raw


@cache
def _hints(kind: Any) -> dict[str, Any]:
    """Return the types of a class's fields; each evaluation compiles them."""
    return get_type_hints(kind)


def check(raw: object, kind: Any, path: str) -> list[SettingsFault]:
    """Return the values of JSON data that are invalid for an attrs class."""
    if not isinstance(raw, dict):
        return [_new_fault(path, raw, 'an object')]
    fields = {field.name: field for field in attrs.fields(kind)}
    hints = _hints(kind)
    faults = [
        _new_fault(f'{path}.{name}', raw[name], f'one of {", ".join(fields)}')
        for name in raw
        if name not in fields
    ]
    for name, field in fields.items():
        field_path = f'{path}.{name}'
        if name in raw:
            faults.extend(
                _check_field(raw[name], field, hints[name], field_path)
            )
        elif field.default is attrs.NOTHING:
            faults.append(
                SettingsFault(field_path, 'nothing', 'a required value')
            )
    return faults


def _check_field(
    raw: object,
    field: Any,
    hint: Any,
    path: str,
) -> list[SettingsFault]:
    if attrs.has(hint):
        return check(raw, hint, path)
    if get_origin(hint) is tuple:
        return _check_items(raw, get_args(hint)[0], path)
    if not _is_scalar(raw, hint):
        return [_new_fault(path, raw, _TYPE_NAMES.get(hint, 'another value'))]
    allowed = field.metadata.get('range')
    if isinstance(allowed, Range) and not _in_range(raw, allowed):
        return [_new_fault(path, raw, f'{allowed.low} to {allowed.high}')]
    names = field.metadata.get('one_of')
    if names is not None and raw not in names:
        return [_new_fault(path, raw, f'one of {", ".join(names)}')]
    return []


def _check_items(raw: object, hint: Any, path: str) -> list[SettingsFault]:
    if not isinstance(raw, list):
        return [_new_fault(path, raw, 'an array')]
    faults = []
    for index, element in enumerate(raw):
        item_path = f'{path}[{index}]'
        if attrs.has(hint):
            faults.extend(check(element, hint, item_path))
        elif not _is_scalar(element, hint):
            faults.append(_new_fault(item_path, element, _TYPE_NAMES[hint]))
    return faults


def _is_scalar(raw: object, hint: Any) -> bool:
    if isinstance(raw, bool):
        return hint is bool
    if hint is float:
        return isinstance(raw, (int, float))
    return isinstance(raw, hint)


def _in_range(raw: Any, allowed: Range) -> bool:
    return bool(allowed.low <= raw <= allowed.high)


def _new_fault(path: str, raw: object, allowed: str) -> SettingsFault:
    return SettingsFault(path, json.dumps(raw)[:MAX_FOUND_LENGTH], allowed)


def _single_fault(path: str, found: str, allowed: str) -> SettingsFaults:
    return SettingsFaults((SettingsFault(path, found, allowed),))
