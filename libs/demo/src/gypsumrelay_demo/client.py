"""HTTP client of the demonstration for model and service requests."""

from __future__ import annotations

import json
from typing import Any, Final

import attrs
import urllib3
from gypsumrelay_clock import monotonic

CALL_TIMEOUT_SECONDS: Final = 60.0
OK: Final = 200
EVENT_PREFIX: Final = b'data: '


@attrs.frozen
class Reply:
    """Response as received by a caller.

    Attributes:
        status: HTTP status; 0 for a connection error.
        text: Generated text or body.
        code: Error code; empty without a failure.
        outcome: Outcome of a failed request; empty without a failure.
        whole: Whether the response is complete.
        first_seconds: Seconds until the first part of the response.
        seconds: Seconds until the end of the response.
        gaps: Seconds between the parts of a stream.
        headers: Headers of the response.
    """

    status: int
    text: str = ''
    code: str = ''
    outcome: str = ''
    whole: bool = False
    first_seconds: float = 0
    seconds: float = 0
    gaps: tuple[float, ...] = ()
    headers: dict[str, str] = attrs.field(factory=dict)


def complete(
    pool: urllib3.PoolManager,
    url: str,
    key: str,
    body: dict[str, Any],
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send a completion request and return its complete response.

    A body with `messages` is sent as a chat completion.
    """
    started = monotonic()
    request_headers = {'Authorization': f'Bearer {key}', **(headers or {})}
    path = '/v1/chat/completions' if 'messages' in body else '/v1/completions'
    try:
        response = pool.request(
            'POST',
            url + path,
            body=json.dumps(body).encode(),
            headers=request_headers,
            timeout=CALL_TIMEOUT_SECONDS,
            retries=False,
            preload_content=False,
        )
        if response.status != OK or not body.get('stream'):
            return _read_response(response, started)
        return _read_stream(response, started)
    except urllib3.exceptions.HTTPError as error:
        seconds = monotonic() - started
        return Reply(0, code=type(error).__name__, seconds=seconds)


def call(
    pool: urllib3.PoolManager,
    url: str,
    method: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> Reply:
    """Send a request to a plain service and return its response."""
    started = monotonic()
    try:
        response = pool.request(
            method,
            url,
            body=body or None,
            headers=headers,
            timeout=CALL_TIMEOUT_SECONDS,
            retries=False,
            preload_content=False,
        )
        return _read_response(response, started)
    except urllib3.exceptions.HTTPError as error:
        seconds = monotonic() - started
        return Reply(0, code=type(error).__name__, seconds=seconds)


def _read_response(response: urllib3.BaseHTTPResponse, started: float) -> Reply:
    payload = response.read()
    response.release_conn()
    seconds = monotonic() - started
    headers = dict(response.headers)
    try:
        document = json.loads(payload)
    except ValueError:
        document = {}
    if not isinstance(document, dict):
        document = {}
    failure = document.get('error')
    if isinstance(failure, dict):
        return Reply(
            response.status,
            code=failure['code'],
            outcome=failure['outcome'],
            seconds=seconds,
            headers=headers,
        )
    text = payload.decode('utf-8', 'replace')
    choices = document.get('choices')
    if choices:
        choice = choices[0]
        text = choice.get('text') or choice.get('message', {}).get('content')
    return Reply(
        response.status,
        text,
        whole=True,
        first_seconds=seconds,
        seconds=seconds,
        headers=headers,
    )


def _read_stream(response: urllib3.BaseHTTPResponse, started: float) -> Reply:
    reader = _StreamReader(started)
    remainder = b''
    for chunk in response.stream(65536):
        *blocks, remainder = (remainder + chunk).split(b'\n\n')
        for event_text in blocks:
            reader.add_event(event_text.removeprefix(EVENT_PREFIX))
    response.release_conn()
    return reader.build_reply(response)


@attrs.define
class _StreamReader:
    started: float
    texts: list[str] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)
    code: str = ''
    outcome: str = ''
    done: bool = False

    def add_event(self, event_text: bytes) -> None:
        """Process one event of the stream."""
        if event_text == b'[DONE]':
            self.done = True
            return
        event = json.loads(event_text)
        if 'error' in event:
            self.code = event['error']['code']
            self.outcome = event['error']['outcome']
            return
        choice = event['choices'][0]
        text = choice.get('text') or choice.get('delta', {}).get('content')
        if text:
            self.texts.append(text)
            self.times.append(monotonic())

    def build_reply(self, response: urllib3.BaseHTTPResponse) -> Reply:
        """Return the reply assembled from the events."""
        gaps = [
            later - earlier
            for earlier, later in zip(self.times, self.times[1:], strict=False)
        ]
        first = self.times[0] if self.times else monotonic()
        return Reply(
            response.status,
            ''.join(self.texts),
            self.code,
            self.outcome,
            self.done,
            first - self.started,
            monotonic() - self.started,
            tuple(gaps),
            dict(response.headers),
        )
