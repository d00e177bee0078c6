"""Read HTTP headers and identify hop-by-hop headers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

# Headers that apply to a single connection and are not forwarded (RFC 9110).
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
ENVIRON_PREFIX: Final = 'HTTP_'


def listed_headers(connection: str) -> frozenset[str]:
    """Return the header names in a `Connection` header, in lower case."""
    return frozenset(name.strip().lower() for name in connection.split(','))


def environ_headers(environ: Mapping[str, Any]) -> list[tuple[str, str]]:
    """Return the headers of a request from its WSGI environment."""
    headers = [
        (_header_name(name), str(text))
        for name, text in environ.items()
        if name.startswith(ENVIRON_PREFIX)
    ]
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        headers.append(('Content-Type', content_type))
    return headers


def _header_name(name: str) -> str:
    return name.removeprefix(ENVIRON_PREFIX).replace('_', '-').title()
