"""HTTP client of a plain service."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from typing import Final

import attrs
import urllib3
from gypsumrelay_clock import monotonic

from gypsumrelay_agent.engine import (
    CONNECT_SECONDS,
    READ_BYTES,
    UpstreamFault,
    fault_of,
)

LEAST_SECONDS: Final = 0.05


@attrs.frozen
class ServiceStart:
    """Status and headers of a response."""

    status: int
    headers: list[list[str]]


@attrs.frozen
class ServiceClient:
    """Send requests to one instance of a plain service."""

    url: str
    pool: urllib3.PoolManager

    def call(
        self,
        method: str,
        path: str,
        headers: list[list[str]],
        body: bytes,
        deadline: float,
    ) -> Iterator[ServiceStart | bytes | UpstreamFault]:
        """Yield the start and the body chunks of the response.

        A fault may take their place or end them early.

        Args:
            method: HTTP method.
            path: Path and query string.
            headers: Pairs of a header name and its value.
            body: Request body.
            deadline: Deadline of the request, as a time in seconds.
        """
        seconds = max(LEAST_SECONDS, deadline - monotonic())
        fields = urllib3.HTTPHeaderDict()
        for name, text in headers:
            fields.add(name, text)
        try:
            response = self.pool.request(
                method,
                f'{self.url}{path}',
                headers=fields,
                body=body or None,
                redirect=False,
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=seconds),
                preload_content=False,
                decode_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            yield fault_of(error)
            return
        yield from _answer(response)


def _answer(
    response: urllib3.BaseHTTPResponse,
) -> Iterator[ServiceStart | bytes | UpstreamFault]:
    yield ServiceStart(
        response.status,
        [[name, text] for name, text in response.headers.items()],
    )
    whole = False
    try:
        yield from response.stream(READ_BYTES, decode_content=False)
        whole = True
    except urllib3.exceptions.HTTPError as error:
        yield fault_of(error)
    finally:
        if whole:
            response.release_conn()
        else:
            with suppress(urllib3.exceptions.HTTPError, OSError):
                response.close()
