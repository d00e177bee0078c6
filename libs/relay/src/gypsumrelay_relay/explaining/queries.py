"""The request that an operator asks about."""

from __future__ import annotations

from typing import Any, Final
from urllib.parse import parse_qs

import attrs

# Largest size in tokens that is accepted, well above any engine's memory.
MAX_TOKENS: Final = 1_000_000_000


@attrs.frozen
class ExplainQuery:
    """Properties of the request to explain.

    Attributes:
        host: Host header.
        path: Path without query.
        account: Name of the client account; empty for none.
        model: Service of the route to explain; empty for the one with the
            highest weight.
        prompt: Length of the prompt in tokens; 0 for plain requests.
        output: Maximum number of generated tokens.
        expected: Expected number of generated tokens; 0 if not stated.
    """

    host: str = ''
    path: str = ''
    account: str = ''
    model: str = ''
    prompt: int = 0
    output: int = 0
    expected: int = 0


def parse_query(query: str) -> ExplainQuery | None:
    """Return the properties in a query string; None if one is invalid."""
    known = {one.name for one in attrs.fields(ExplainQuery)}
    given: dict[str, Any] = {
        name: texts[-1] for name, texts in parse_qs(query).items()
    }
    if not given.keys() <= known:
        return None
    sizes: dict[str, Any] = {
        name: _size(given.pop(name))
        for name in ('prompt', 'output', 'expected')
        if name in given
    }
    if any(size is None for size in sizes.values()):
        return None
    return ExplainQuery(**given, **sizes)


def _size(text: str) -> int | None:
    if not text.isascii() or not text.isdigit():
        return None
    return min(int(text[:10]), MAX_TOKENS)
