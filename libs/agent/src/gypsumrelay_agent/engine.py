"""Client of the model engine's HTTP interface."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import suppress
from typing import Any, Final

import attrs
import urllib3

CONNECT_SECONDS: Final = 1.0
REPORT_SECONDS: Final = 1.5
# A stream without a byte for this long is given up here; the entry's own
# progress deadline is shorter.
STREAM_SECONDS: Final = 10.0
READ_BYTES: Final = 65_536
FIRST_ERROR_STATUS: Final = 400
SERVICE_UNAVAILABLE: Final = 503


@attrs.frozen
class UpstreamFault:
    """An upstream that did not do what it was asked.

    Attributes:
        sentence: What happened.
        reached: Whether the request may have reached the upstream.
        crashed: Whether the connection broke while the request ran.
        status: HTTP status of the refusal, 0 for none.
    """

    sentence: str
    reached: bool = True
    crashed: bool = False
    status: int = 0


@attrs.frozen
class TokenBatch:
    """Some consecutive tokens as the engine generated them."""

    first_index: int
    count: int
    text: str
    finished: bool


def new_pool(connections: int) -> urllib3.PoolManager:
    """Return a pool without retries; a retry is the router's decision."""
    return urllib3.PoolManager(maxsize=connections, retries=False)


def fault_of(error: urllib3.exceptions.HTTPError) -> UpstreamFault:
    """Return what an error of the HTTP client means for the request."""
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return UpstreamFault('the upstream refuses connections', reached=False)
    if isinstance(error, urllib3.exceptions.ConnectTimeoutError):
        return UpstreamFault('the upstream is out of reach', reached=False)
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return UpstreamFault('the upstream gave no answer in time')
    return UpstreamFault('the connection to the upstream broke', crashed=True)


@attrs.frozen
class EngineClient:
    """Sends requests and commands to one engine."""

    url: str
    pool: urllib3.PoolManager

    def prefill(
        self,
        run_id: str,
        prompt: str,
        seconds: float,
    ) -> dict[str, Any] | UpstreamFault:
        """Compute the KV cache of a prompt."""
        body = {'request_id': run_id, 'prompt': prompt}
        return self.post('/prefill', body, seconds)

    def fetch_cache(
        self,
        run_id: str,
        source: tuple[str, str],
        max_tokens: int,
        seconds: float,
    ) -> dict[str, Any] | UpstreamFault:
        """Make the engine fetch a KV cache from another one."""
        body = {
            'request_id': run_id,
            'source_url': source[0],
            'handle': source[1],
            'max_tokens': max_tokens,
        }
        return self.post('/import', body, seconds)

    def decode(
        self,
        run_id: str,
        first_index: int,
        max_tokens: int,
        priority: int,
    ) -> Iterator[TokenBatch | UpstreamFault]:
        """Yield token batches; a fault comes last."""
        body = {
            'request_id': run_id,
            'first_index': first_index,
            'max_tokens': max_tokens,
            'priority': priority,
        }
        try:
            yield from self._stream(body)
        except urllib3.exceptions.HTTPError as error:
            yield fault_of(error)

    def cancel(self, run_id: str) -> bool | UpstreamFault:
        """Cancel a run; return whether the engine held it."""
        body = {'request_id': run_id}
        answer = self.post('/cancel', body, REPORT_SECONDS)
        if isinstance(answer, UpstreamFault):
            return answer
        return answer.get('cancelled') is True

    def read(self, path: str) -> dict[str, Any] | UpstreamFault:
        """Read what the engine publishes under a path."""
        return self._exchange('GET', path, None, REPORT_SECONDS)

    def post(
        self,
        path: str,
        body: dict[str, Any],
        seconds: float,
    ) -> dict[str, Any] | UpstreamFault:
        """Send a JSON request and return the JSON answer."""
        return self._exchange('POST', path, json.dumps(body).encode(), seconds)

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        seconds: float,
    ) -> dict[str, Any] | UpstreamFault:
        try:
            response = self.pool.request(
                method,
                f'{self.url}{path}',
                body=body,
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=seconds),
            )
        except urllib3.exceptions.HTTPError as error:
            return fault_of(error)
        return _json_answer(response)

    def _stream(
        self,
        body: dict[str, Any],
    ) -> Iterator[TokenBatch | UpstreamFault]:
        response = self.pool.request(
            'POST',
            f'{self.url}/decode',
            body=json.dumps(body).encode(),
            timeout=urllib3.Timeout(
                connect=CONNECT_SECONDS,
                read=STREAM_SECONDS,
            ),
            preload_content=False,
        )
        try:
            if response.status >= FIRST_ERROR_STATUS:
                yield UpstreamFault(
                    'the upstream refused the decode',
                    status=response.status,
                )
                return
            yield from _batches(response)
        finally:
            # A stream that was not read to its end must not be reused.
            with suppress(urllib3.exceptions.HTTPError, OSError):
                response.close()


def _json_answer(
    response: urllib3.BaseHTTPResponse,
) -> dict[str, Any] | UpstreamFault:
    if response.status >= FIRST_ERROR_STATUS:
        return UpstreamFault(
            f'the upstream answered {response.status}',
            status=response.status,
        )
    try:
        answer = response.json()
    except ValueError:
        return UpstreamFault('the upstream answered something else than JSON')
    if not isinstance(answer, dict):
        return UpstreamFault('the upstream answered no JSON object')
    return answer


def _batches(
    response: urllib3.BaseHTTPResponse,
) -> Iterator[TokenBatch | UpstreamFault]:
    rest = b''
    for chunk in response.stream(READ_BYTES):
        *lines, rest = (rest + chunk).split(b'\n')
        for line in lines:
            batch = _batch(line)
            yield batch
            if isinstance(batch, UpstreamFault) or batch.finished:
                return
    yield UpstreamFault('the stream of the upstream broke off', crashed=True)


def _batch(line: bytes) -> TokenBatch | UpstreamFault:
    try:
        raw = json.loads(line)
        return TokenBatch(
            int(raw['index']),
            0 if raw['finished'] else 1,
            str(raw['tokens']),
            bool(raw['finished']),
        )
    except (ValueError, KeyError, TypeError):
        return UpstreamFault('a line of the stream is malformed')
