"""Minimal forwarder on waitress and urllib3, the baseline of `make bench`.

It does what any forwarder must: read the request, run prefill, import and
decode, and pass on each token as a server-sent event. It has no keys, no
limits, no queue, no retries and no second upstream.
"""

from __future__ import annotations

import json
import sys
import uuid
from typing import TYPE_CHECKING, Any, Final

import urllib3
import waitress

if TYPE_CHECKING:
    from collections.abc import Iterator

THREADS: Final = 128
READ_BYTES: Final = 65536


def application(prefill_url: str, decode_url: str) -> Any:
    """Return the forwarder for a pair of engines."""
    pool = urllib3.PoolManager(maxsize=THREADS, retries=False)

    def respond(environ: dict[str, Any], start_response: Any) -> Any:
        body = json.loads(environ['wsgi.input'].read())
        start_response('200 OK', [('Content-Type', 'text/event-stream')])
        return _events(pool, prefill_url, decode_url, body)

    return respond


def run_decode(
    pool: urllib3.PoolManager,
    prefill_url: str,
    decode_url: str,
    body: dict[str, Any],
) -> urllib3.BaseHTTPResponse:
    """Prefill, import and start the decode; return its stream."""
    name = uuid.uuid4().hex
    prefilled = pool.request(
        'POST',
        f'{prefill_url}/prefill',
        body=json.dumps({'request_id': name, 'prompt': body['prompt']}),
    ).json()
    wanted = {
        'request_id': name,
        'source_url': prefill_url,
        'handle': prefilled['handle'],
        'max_tokens': body['max_tokens'],
        'first_index': 0,
    }
    pool.request('POST', f'{decode_url}/import', body=json.dumps(wanted))
    return pool.request(
        'POST',
        f'{decode_url}/decode',
        body=json.dumps(wanted),
        preload_content=False,
    )


def _events(
    pool: urllib3.PoolManager,
    prefill_url: str,
    decode_url: str,
    body: dict[str, Any],
) -> Iterator[bytes]:
    response = run_decode(pool, prefill_url, decode_url, body)
    rest = b''
    for chunk in response.stream(READ_BYTES):
        *lines, rest = (rest + chunk).split(b'\n')
        for line in lines:
            token = json.loads(line)
            if not token['finished']:
                yield _event({'choices': [{'text': token['tokens']}]})
    response.release_conn()
    yield b'data: [DONE]\n\n'


def _event(event: dict[str, Any]) -> bytes:
    return b'data: ' + json.dumps(event).encode() + b'\n\n'


def main() -> None:
    """Serve on the port given first, before the engines given next."""
    waitress.serve(
        application(sys.argv[2], sys.argv[3]),
        host='127.0.0.1',
        port=int(sys.argv[1]),
        threads=THREADS,
        send_bytes=1,
        _quiet=True,
    )


if __name__ == '__main__':
    main()
