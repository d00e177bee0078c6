"""HTTP client of a plain service."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from typing import Final

import attrs
import urllib3
from gypsumrelay_clock import monotonic
from gypsumrelay_http import ANSWER_BYTES
from gypsumrelay_http.checked_pool import read_pieces

from gypsumrelay_agent.engine import (
    CONNECT_TIMEOUT_SECONDS,
    UpstreamFault,
    fault_from_error,
)

MIN_TIMEOUT_SECONDS: Final = 0.05


@attrs.frozen
class ResponseStart:
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
    ) -> Iterator[ResponseStart | bytes | UpstreamFault]:
        """Yield the start and the body chunks of the response.

        A fault may take their place or end them early.

        Args:
            method: HTTP method.
            path: Path and query string.
            headers: Pairs of a header name and its value.
            body: Request body.
            deadline: Deadline of the request, as a time in seconds.
        """
        seconds = max(MIN_TIMEOUT_SECONDS, deadline - monotonic())
        header_dict = urllib3.HTTPHeaderDict()
        for name, text in headers:
            header_dict.add(name, text)
        try:
            response = self.pool.request(
                method,
                f'{self.url}{path}',
                headers=header_dict,
                body=body or None,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=seconds
                ),
                preload_content=False,
                decode_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            yield fault_from_error(error)
            return
        yield from _read_response(response, seconds)


def _read_response(
    response: urllib3.BaseHTTPResponse, seconds: float
) -> Iterator[ResponseStart | bytes | UpstreamFault]:
    yield ResponseStart(
        response.status,
        [[name, text] for name, text in response.headers.items()],
    )
    is_complete = False
    try:
        yield from read_pieces(response, seconds, ANSWER_BYTES)
        is_complete = True
    except urllib3.exceptions.HTTPError as error:
        yield fault_from_error(error)
    finally:
        if is_complete:
            response.release_conn()
        else:
            with suppress(urllib3.exceptions.HTTPError, OSError):
                response.close()
