"""Encode and decode messages as msgpack arrays."""

from __future__ import annotations

import importlib
import inspect
from functools import cache
from typing import TYPE_CHECKING, Any, Final

import attrs
import msgpack
from gypsumrelay_errors import FrameMalformed

from gypsumrelay_wire import performance_reports, placements
from gypsumrelay_wire.base import Heartbeat, Message

if TYPE_CHECKING:
    from types import ModuleType

VERSION: Final = 6
HEADER_LENGTH: Final = 2


def _classes_in(module: ModuleType) -> dict[int, type[Message]]:
    """Return the message classes of a module, by tag."""
    return {
        message_class.tag: message_class
        for _, message_class in inspect.getmembers(module, inspect.isclass)
        if issubclass(message_class, Message) and message_class.tag
    }


_CLASSES: Final[dict[int, type[Message]]] = {
    Heartbeat.tag: Heartbeat,
    **_classes_in(placements),
    **_classes_in(performance_reports),
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


def encode(message: Message) -> bytes:
    """Return a message encoded as one msgpack array."""
    names = [field.name for field in attrs.fields(type(message))]
    fields = [getattr(message, name) for name in names]
    packed: bytes = msgpack.packb([VERSION, message.tag, *fields])
    return packed


def decode(payload: bytes) -> Message | FrameMalformed | None:
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
    message_class = _CLASSES.get(tag) or _other_classes().get(tag)
    if message_class is None:
        if version > VERSION:
            return None
        return FrameMalformed(f'tag {tag} is unknown in version {version}')
    return _build_message(message_class, frame[HEADER_LENGTH:])


@cache
def _other_classes() -> dict[int, type[Message]]:
    """Return the messages of entries and agents, which no relay sends."""
    return _classes_in(importlib.import_module('gypsumrelay_wire.messages'))


def _build_message(
    message_class: type[Message], received_fields: list[Any]
) -> Message | FrameMalformed:
    fields = attrs.fields(message_class)
    required_count = sum(field.default is attrs.NOTHING for field in fields)
    name = message_class.__name__
    if len(received_fields) < required_count:
        return FrameMalformed(
            f'{name} has {len(received_fields)} of {required_count} fields'
        )
    for field, received_field in zip(fields, received_fields, strict=False):
        if not _has_type(str(field.type), received_field):
            return FrameMalformed(f'{name}.{field.name} has the wrong type')
    return message_class(*received_fields[: len(fields)])


def _has_type(annotation: str, received_field: object) -> bool:
    if not isinstance(received_field, _FIELD_TYPES[annotation]):
        return False
    if annotation == 'int' and isinstance(received_field, bool):
        return False
    element_type = _ELEMENT_TYPES.get(annotation)
    if element_type is None or not isinstance(received_field, list):
        return True
    return all(isinstance(element, element_type) for element in received_field)
