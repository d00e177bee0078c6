"""JSON requests over HTTP with explicit timeouts and without retries."""

from __future__ import annotations

import json
from typing import Any, Final

import urllib3
from gypsumrelay_errors import Outcome, PlatformUnavailable
from gypsumrelay_http.checked_pool import new_checked_pool, read_body

CONNECT_SECONDS: Final = 1.0
READ_SECONDS: Final = 3.0
# At most this much of a response is read, since it is held in memory.
ANSWER_LIMIT_BYTES: Final = 67_108_864
MIN_ERROR_STATUS: Final = 400
POOL_CONNECTIONS: Final = 4
# Errors of reading fields from the JSON of an answer.
FIELD_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)


def new_pool() -> urllib3.PoolManager:
    """Return a connection pool without retries, which callers decide on."""
    return new_checked_pool(
        maxsize=POOL_CONNECTIONS,
        timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=READ_SECONDS),
    )


def exchange(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    body: object = None,
) -> Any | PlatformUnavailable:
    """Send a JSON request and return the decoded JSON response.

    Args:
        pool: Connection pool.
        method: HTTP method.
        url: URL of the platform service.
        body: Data of the request body; None sends no body.

    Returns:
        The decoded response, or a failure. The failure's outcome is
        `unknown` where the request may have taken effect.
    """
    try:
        response = pool.request(
            method,
            url,
            body=None if body is None else json.dumps(body).encode(),
            headers={'Content-Type': 'application/json'},
            preload_content=False,
        )
        payload = read_body(response, READ_SECONDS, ANSWER_LIMIT_BYTES)
    except (urllib3.exceptions.NewConnectionError, ValueError):
        return PlatformUnavailable('the platform service is out of reach')
    except urllib3.exceptions.HTTPError:
        return PlatformUnavailable(
            'the platform service gave no answer',
            Outcome.unknown,
        )
    if response.status >= MIN_ERROR_STATUS:
        return PlatformUnavailable(
            f'the platform service answered {response.status}',
            Outcome.unknown,
        )
    return _parse(payload)


def _parse(payload: bytes) -> Any | PlatformUnavailable:
    try:
        return json.loads(payload)
    except (ValueError, RecursionError):
        return PlatformUnavailable(
            'the platform service answered something that is not JSON',
            Outcome.unknown,
        )
