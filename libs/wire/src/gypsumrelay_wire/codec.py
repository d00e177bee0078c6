"""Encode and decode messages as msgpack arrays."""

from __future__ import annotations

import inspect
from typing import Any, Final

import attrs
import msgpack
from gypsumrelay_errors import FrameMalformed

from gypsumrelay_wire import messages, performance_reports, placements

VERSION: Final = 6
HEADER_LENGTH: Final = 2

_CLASSES: Final = {
    message_class.tag: message_class
    for module in (messages, placements, performance_reports)
    for _, message_class in inspect.getmembers(module, inspect.isclass)
    if issubclass(message_class, messages.Message) and message_class.tag
}
_FIELD_TYPES: Final[dict[str, type]] = {
    'str': str,
    'int': int,
    'bool': bool,
    'bytes': bytes,
    'list[bytes]': list,
    'list[int]': list,
    'list[str]': list,
    'list[list[str]]': list,
}
_ELEMENT_TYPES: Final[dict[str, type]] = {
    'list[bytes]': bytes,
    'list[int]': int,
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
    if not isinstance(frame, list) or len(frame) < HEADER_LENGTH:
        return FrameMalformed('the payload is not an array with a header')
    version, tag = frame[:HEADER_LENGTH]
    if not isinstance(version, int) or not isinstance(tag, int):
        return FrameMalformed('the version or the tag is not a number')
    if tag not in _CLASSES:
        if version > VERSION:
            return None
        return FrameMalformed(f'tag {tag} is unknown in version {version}')
    return _build_message(tag, frame[HEADER_LENGTH:])


def _build_message(
    tag: int, received_fields: list[Any]
) -> messages.Message | FrameMalformed:
    fields = _FIELDS[tag]
    required_count = sum(field.default is attrs.NOTHING for field in fields)
    name = _CLASSES[tag].__name__
    if len(received_fields) < required_count:
        return FrameMalformed(
            f'{name} has {len(received_fields)} of {required_count} fields'
        )
    for field, received_field in zip(fields, received_fields, strict=False):
        if not _has_type(str(field.type), received_field):
            return FrameMalformed(f'{name}.{field.name} has the wrong type')
    return _CLASSES[tag](*received_fields[: len(fields)])


def _has_type(annotation: str, received_field: object) -> bool:
    if not isinstance(received_field, _FIELD_TYPES[annotation]):
        return False
    if annotation == 'int' and isinstance(received_field, bool):
        return False
    element_type = _ELEMENT_TYPES.get(annotation)
    if element_type is None or not isinstance(received_field, list):
        return True
    return all(isinstance(element, element_type) for element in received_field)
