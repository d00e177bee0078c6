"""Encode and decode messages as msgpack arrays."""

from __future__ import annotations

import inspect
from typing import Any, Final

import attrs
import msgpack
from gypsumrelay_errors import FrameMalformed

from gypsumrelay_wire import messages, places

VERSION: Final = 1
HEADER_FIELDS: Final = 2

_CLASSES: Final = {
    message_class.tag: message_class
    for module in (messages, places)
    for _, message_class in inspect.getmembers(module, inspect.isclass)
    if issubclass(message_class, messages.Message) and message_class.tag
}
_CHECKS: Final[dict[str, type]] = {
    'str': str,
    'int': int,
    'bool': bool,
    'bytes': bytes,
    'list[bytes]': list,
    'list[str]': list,
    'list[list[str]]': list,
}
_ELEMENTS: Final[dict[str, type]] = {
    'list[bytes]': bytes,
    'list[str]': str,
    'list[list[str]]': list,
}
_FIELDS: Final = {
    tag: attrs.fields(message_class) for tag, message_class in _CLASSES.items()
}


def encode(message: messages.Message) -> bytes:
    """Return a message encoded as one msgpack array."""
    names = [field.name for field in _FIELDS[message.tag]]
    fields = [getattr(message, name) for name in names]
    packed: bytes = msgpack.packb([VERSION, message.tag, *fields])
    return packed


def decode(payload: bytes) -> messages.Message | FrameMalformed | None:
    """Return the message in a payload.

    Args:
        payload: One msgpack array, as returned by `encode`.

    Returns:
        The message; None for an unknown tag of a newer protocol version; a
        failure if the payload is not a valid message.
    """
    try:
        frame = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException):
        return FrameMalformed('the payload is not msgpack')
    if not isinstance(frame, list) or len(frame) < HEADER_FIELDS:
        return FrameMalformed('the payload is not an array with a header')
    version, tag = frame[:HEADER_FIELDS]
    if not isinstance(version, int) or not isinstance(tag, int):
        return FrameMalformed('the version or the tag is not a number')
    if tag not in _CLASSES:
        if version > VERSION:
            return None
        return FrameMalformed(f'tag {tag} is unknown in version {version}')
    return _build(tag, frame[HEADER_FIELDS:])


def _build(tag: int, given: list[Any]) -> messages.Message | FrameMalformed:
    fields = _FIELDS[tag]
    needed = sum(field.default is attrs.NOTHING for field in fields)
    name = _CLASSES[tag].__name__
    if len(given) < needed:
        return FrameMalformed(f'{name} has {len(given)} of {needed} fields')
    for field, entry in zip(fields, given, strict=False):
        if not _fits(str(field.type), entry):
            return FrameMalformed(f'{name}.{field.name} has the wrong type')
    return _CLASSES[tag](*given[: len(fields)])


def _fits(annotation: str, entry: object) -> bool:
    if not isinstance(entry, _CHECKS[annotation]):
        return False
    if annotation == 'int' and isinstance(entry, bool):
        return False
    element = _ELEMENTS.get(annotation)
    if element is None or not isinstance(entry, list):
        return True
    return all(isinstance(part, element) for part in entry)
