"""Filters for the headers forwarded between callers and services."""

from __future__ import annotations

from typing import Any, Final

from gypsumrelay_http import HOP_BY_HOP, environ_headers, listed_headers

# The API key and the idempotency key are confidential and must not appear in
# any message to an agent or upstream. Each HTTP client sets the host and the
# length itself.
NOT_FORWARDED: Final = HOP_BY_HOP | {
    'authorization',
    'content-length',
    'host',
    'idempotency-key',
}


def forwarded_headers(environ: dict[str, Any]) -> list[list[str]]:
    """Return the request headers to forward to the upstream."""
    excluded = NOT_FORWARDED | listed_headers(
        environ.get('HTTP_CONNECTION', '')
    )
    return [
        [name, text]
        for name, text in environ_headers(environ)
        if name.lower() not in excluded
    ]


def response_headers(headers: list[list[str]]) -> list[tuple[str, str]]:
    """Return the response headers to forward to the caller."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in {'content-length', 'server', 'date'}
    ]
