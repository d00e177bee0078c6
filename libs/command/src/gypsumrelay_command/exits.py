"""Exit codes and the result of a command."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any, Final

import attrs

DONE: Final = 0
REJECTED: Final = 1
INVALID: Final = 2
UNKNOWN: Final = 3
UNREACHABLE: Final = 4


@attrs.frozen
class Result:
    """What a command prints and how it exits.

    Attributes:
        code: The exit code.
        document: What `--json` prints.
        lines: What is printed otherwise.
    """

    code: int
    document: Any
    lines: Sequence[str] = ()


def finish(result: Result, as_json: bool) -> int:
    """Print a result and return its exit code."""
    if as_json:
        print(json.dumps(result.document, indent=1))
        return result.code
    stream = sys.stdout if result.code == DONE else sys.stderr
    for line in result.lines:
        print(printable(line), file=stream)
    return result.code


def printable(text: str) -> str:
    """Return a text whose control characters cannot act on a terminal."""
    return ''.join(
        letter if letter.isprintable() else repr(letter)[1:-1]
        for letter in text
    )


def failure(code: int, name: str, sentence: str) -> Result:
    """Return the result of a command that failed."""
    document = {'error': name, 'sentence': sentence}
    return Result(code, document, (f'{name}: {sentence}',))
