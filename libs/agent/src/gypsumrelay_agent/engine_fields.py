"""Reads the fields of the engine's answers.

The JSON library accepts numbers that are infinite and texts that can't be
encoded, and fails in its own way on values that are nested deeply.
"""

from __future__ import annotations

import json
from typing import Any, Final

MAX_COUNT: Final = 2_147_483_647


class UnusableFieldError(ValueError):
    """An answer of the engine lacks a field or has an unusable one."""


def read_object(content: bytes) -> dict[str, Any]:
    """Return a JSON object.

    Raises:
        ValueError: If the content is none, or nested too deeply.
    """
    try:
        answer = json.loads(content)
    except RecursionError as error:
        raise UnusableFieldError('the JSON is nested too deeply') from error
    if not isinstance(answer, dict):
        raise UnusableFieldError('the JSON is no object')
    return answer


def read_count(answer: dict[str, Any], name: str) -> int:
    """Return a number of things, or an index.

    Raises:
        UnusableFieldError: If the field is missing or can't be used.
    """
    count = answer.get(name)
    if not isinstance(count, int) or isinstance(count, bool):
        raise UnusableFieldError(f'{name} is no number')
    if not 0 <= count <= MAX_COUNT:
        raise UnusableFieldError(f'{name} is out of range')
    return count


def read_text(answer: dict[str, Any], name: str) -> str:
    """Return a text that can be encoded as UTF-8.

    Raises:
        ValueError: If the field is missing or can't be used.
    """
    text = answer.get(name)
    if not isinstance(text, str):
        raise UnusableFieldError(f'{name} is no text')
    text.encode()
    return text


def read_flag(answer: dict[str, Any], name: str) -> bool:
    """Return a truth value.

    Raises:
        UnusableFieldError: If the field is missing or can't be used.
    """
    flag = answer.get(name)
    if not isinstance(flag, bool):
        raise UnusableFieldError(f'{name} is no truth value')
    return flag
