"""Headers that pass between callers and plain services."""

from __future__ import annotations

from typing import Any, Final

# RFC 9110 names these as meaningful for one connection only.
HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# The API key and the idempotency key must reach no upstream and go into no
# message; the lengths are set anew by each server.
WITHHELD: Final = HOP_BY_HOP | {
    'authorization',
    'content-length',
    'host',
    'idempotency-key',
}
ENVIRON_PREFIX: Final = 'HTTP_'


def forwarded_headers(environ: dict[str, Any]) -> list[list[str]]:
    """Return the caller's headers that an upstream may see."""
    listed = {
        name.strip().lower()
        for name in environ.get('HTTP_CONNECTION', '').split(',')
    }
    headers = [
        [name, text]
        for name, text in _environ_headers(environ)
        if name.lower() not in WITHHELD and name.lower() not in listed
    ]
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        headers.append(['Content-Type', content_type])
    return headers


def answer_headers(headers: list[list[str]]) -> list[tuple[str, str]]:
    """Return the upstream's headers that the caller may see."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in {'content-length', 'server', 'date'}
    ]


def _environ_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    return [
        (_header_name(name), str(text))
        for name, text in environ.items()
        if name.startswith(ENVIRON_PREFIX)
    ]


def _header_name(name: str) -> str:
    return name.removeprefix(ENVIRON_PREFIX).replace('_', '-').title()
