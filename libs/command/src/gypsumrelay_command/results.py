"""Exit codes, and the results that commands print."""

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
    """Output and exit code of a command.

    Attributes:
        code: The exit code.
        document: JSON document printed with `--json`.
        lines: Lines printed without `--json`.
    """

    code: int
    document: Any
    lines: Sequence[str] = ()


def print_result(result: Result, as_json: bool) -> int:
    """Print a result and return its exit code."""
    if as_json:
        print(json.dumps(result.document, indent=1))
        return result.code
    stream = sys.stdout if result.code == DONE else sys.stderr
    for line in result.lines:
        print(escape_control(line), file=stream)
    return result.code


def escape_control(text: str) -> str:
    """Return the text with non-printable characters escaped.

    Names from other processes may contain control characters that a terminal
    would interpret.
    """
    return ''.join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in text
    )


def failure_result(code: int, name: str, sentence: str) -> Result:
    """Return the result of a failed command.

    Args:
        code: The exit code.
        name: Name of the error, option or file.
        sentence: Description of the failure.
    """
    document = {'error': name, 'sentence': sentence}
    return Result(code, document, (f'{name}: {sentence}',))
