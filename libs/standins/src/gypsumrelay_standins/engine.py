"""Simulated model engine with prefill, decode and KV cache transfer.

Each generated token depends only on the preceding words, so that tests can
compare a resumed response with an uninterrupted one.
"""

from __future__ import annotations

import hashlib
import json
import os
import secrets
import threading
import time
from collections.abc import Iterator
from typing import Any, Final

import attrs
import urllib3
from gypsumrelay_clock import monotonic

from gypsumrelay_standins.http_server import Request, Response

CRASH_MARKER: Final = 'crash-upstream'
MAX_RECORDS: Final = 200_000
SECONDS_PER_MS: Final = 0.001


@attrs.define
class EngineSettings:
    """Performance, capacity and injected faults of the engine.

    Attributes:
        kind: Phase of the engine, `prefill` or `decode`.
        slots: Maximum number of concurrent runs.
        pieces: KV cache memory, in blocks.
        piece_tokens: Tokens in one block.
        prefill_us: Microseconds for each prompt token not cached.
        token_ms: Milliseconds between tokens of an idle engine.
        transfer_us: Microseconds for each token of an imported KV cache.
        kv_seconds: Seconds until the KV cache of a prefill expires.
        cold_requests: Completions until the engine is warm.
        cold_limit: Concurrent requests at which a cold engine crashes.
        checks_fencing: Whether orders with an old fencing token are rejected.
        event_lag_seconds: Seconds until a cache event is visible.
        event_gap: One in this many cache events is lost.
        stall: Whether decodes make no progress.
        stall_transfers: Whether KV cache imports never finish.
    """

    kind: str = 'decode'
    slots: int = 20
    pieces: int = 200
    piece_tokens: int = 2000
    prefill_us: float = 200
    token_ms: float = 5
    transfer_us: float = 2
    kv_seconds: float = 0.8
    cold_requests: int = 3
    cold_limit: int = 2
    checks_fencing: bool = True
    event_lag_seconds: float = 0.3
    event_gap: int = 7
    stall: bool = False
    stall_transfers: bool = False


def chain(state: bytes, words: list[str]) -> bytes:
    """Return the chained hash of a state and the words that follow it."""
    for word in words:
        state = hashlib.blake2b(state + word.encode(), digest_size=8).digest()
    return state


def word_for(state: bytes) -> str:
    """Return the word generated from a state."""
    return f'w{state[:2].hex()}'


def expected_text(prompt: str, count: int) -> str:
    """Return the text of an uninterrupted run.

    Args:
        prompt: The prompt.
        count: Number of generated words.
    """
    state = chain(b'', prompt.split())
    words = []
    for _ in range(count):
        words.append(word_for(state))
        state = chain(state, words[-1:])
    return ''.join(f' {word}' for word in words)


def prefix_digests(words: list[str], piece_tokens: int) -> list[str]:
    """Return the digest of each prompt prefix that ends with a full block."""
    digests = []
    digest = b''
    for end in range(piece_tokens, len(words) + 1, piece_tokens):
        block = ' '.join(words[end - piece_tokens : end]).encode()
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        digests.append(digest.hex())
    return digests


@attrs.define
class Run:
    """Prefill or decode run for which the engine reserves memory.

    Attributes:
        request_id: The request.
        kind: `prefill` or `decode`.
        pieces: Reserved blocks of memory.
        record: Entry of the run in the engine's record.
        cancelled: Set when the run is cancelled.
    """

    request_id: str
    kind: str
    pieces: int
    record: dict[str, Any]
    cancelled: threading.Event = attrs.field(factory=threading.Event)


@attrs.define
class Kv:
    """KV cache of one request, for export or decoding.

    Attributes:
        state: Chained hash of the words so far, in hexadecimal.
        prompt_tokens: Number of tokens in the prompt.
        request_id: The request.
        expires_at: Monotonic time in seconds at which the cache expires.
    """

    state: str
    prompt_tokens: int
    request_id: str
    expires_at: float


@attrs.define
class Engine:
    """Simulated engine with its memory, runs and caches.

    Attributes:
        settings: Performance, capacity and injected faults.
        incarnation: Identifies one start of the process.
        runs: Active runs by request id.
        records: Entries of all runs, the oldest first.
        caches: KV caches by handle.
        prefixes: Last use of each cached prompt prefix by digest, in seconds.
        events: Cache events with the times at which they become visible.
        completions: Number of completed requests.
        newest_fencing_number: Highest fencing token of an accepted order.
        orders: Accepted orders.
    """

    settings: EngineSettings
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(4))
    runs: dict[str, Run] = attrs.field(factory=dict)
    records: list[dict[str, Any]] = attrs.field(factory=list)
    caches: dict[str, Kv] = attrs.field(factory=dict)
    prefixes: dict[str, float] = attrs.field(factory=dict)
    events: list[tuple[float, dict[str, Any]]] = attrs.field(factory=list)
    completions: int = 0
    newest_fencing_number: int = 0
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    lock: threading.RLock = attrs.field(factory=threading.RLock)
    pool: urllib3.PoolManager = attrs.field(factory=urllib3.PoolManager)

    def handle(self, request: Request) -> Response:
        """Return the response to one request."""
        handlers = {
            '/prefill': self.prefill,
            '/import': self.import_cache,
            '/decode': self.decode,
            '/cancel': self.cancel,
            '/order': self.execute_order,
            '/fault': self.set_faults,
        }
        if request.path in handlers:
            return handlers[request.path](request.json())
        if request.path.startswith('/export/'):
            return self.export_cache(request.path.removeprefix('/export/'))
        if request.path == '/events':
            return self.read_events(int(request.query.get('from', '0')))
        if request.path == '/record':
            return self.read_records()
        return self.read_status()

    def is_cold(self) -> bool:
        """Return whether the engine is still warming up."""
        return self.completions < self.settings.cold_requests

    def used_pieces(self) -> int:
        """Return the number of memory blocks reserved by active runs."""
        self.expire_caches()
        return sum(run.pieces for run in self.runs.values())

    def expire_caches(self) -> None:
        """Free the memory of expired prefill results."""
        now = monotonic()
        for handle, cache in list(self.caches.items()):
            if cache.expires_at < now:
                self.caches.pop(handle)
                run = self.runs.get(cache.request_id)
                if run is not None and run.kind == 'prefill':
                    self.end_run(run, run.record['state'])

    def start_run(
        self, request_id: str, kind: str, tokens: int
    ) -> Run | Response:
        """Reserve memory for a run and return the run, or an error response.

        A cold engine with `cold_limit` active runs ends the process.
        """
        with self.lock:
            if self.is_cold() and len(self.runs) >= self.settings.cold_limit:
                os._exit(3)
            pieces = -(-tokens // self.settings.piece_tokens)
            if self.used_pieces() + pieces > self.settings.pieces:
                return Response({'error': 'out of memory'}, 503)
            if len(self.runs) >= self.settings.slots:
                return Response({'error': 'no free slot'}, 503)
            record = {
                'kind': kind,
                'request_id': request_id,
                'prompt_tokens': tokens,
                'cached_tokens': 0,
                'output_tokens': 0,
                'state': 'running',
            }
            run = Run(request_id, kind, pieces, record)
            self.runs[request_id] = run
            self.records.append(record)
            del self.records[:-MAX_RECORDS]
            return run

    def end_run(self, run: Run, state: str) -> None:
        """Free the memory of a run and record its final state."""
        with self.lock:
            if self.runs.get(run.request_id) is run:
                del self.runs[run.request_id]
            run.record['state'] = 'cancelled' if state == 'running' else state

    def prefill(self, body: dict[str, Any]) -> Response:
        """Compute the KV cache of a prompt and return its handle."""
        words = body['prompt'].split()
        if CRASH_MARKER in words:
            os._exit(4)
        run = self.start_run(body['request_id'], 'prefill', len(words))
        if isinstance(run, Response):
            return run
        cached = self.update_prefix_cache(words)
        run.record['cached_tokens'] = cached
        seconds = (len(words) - cached) * self.settings.prefill_us / 1e6
        if run.cancelled.wait(seconds):
            self.end_run(run, 'cancelled')
            return Response({'error': 'cancelled'}, 409)
        handle = secrets.token_hex(8)
        with self.lock:
            run.record['state'] = 'finished'
            self.completions += 1
            self.caches[handle] = Kv(
                chain(b'', words).hex(),
                len(words),
                run.request_id,
                monotonic() + self.settings.kv_seconds,
            )
        return Response(
            {
                'handle': handle,
                'prompt_tokens': len(words),
                'cached_tokens': cached,
            },
        )

    def update_prefix_cache(self, words: list[str]) -> int:
        """Update the prefix cache and return the number of cached tokens."""
        now = monotonic()
        hit_count = 0
        with self.lock:
            digests = prefix_digests(words, self.settings.piece_tokens)
            for digest in digests:
                if digest not in self.prefixes:
                    break
                hit_count += 1
            for digest in digests:
                if digest not in self.prefixes:
                    self.publish_event('stored', digest)
                self.prefixes[digest] = now
            while len(self.prefixes) > self.settings.pieces:
                oldest = min(self.prefixes, key=self.prefixes.__getitem__)
                del self.prefixes[oldest]
                self.publish_event('evicted', oldest)
        return hit_count * self.settings.piece_tokens

    def publish_event(self, kind: str, digest: str) -> None:
        """Publish a cache event with a delay; one in `event_gap` is lost."""
        index = len(self.events)
        event = {'number': index, 'kind': kind, 'prefix': digest}
        if index % self.settings.event_gap == self.settings.event_gap - 1:
            event = {'number': index, 'kind': 'lost', 'prefix': ''}
        visible_at = monotonic() + self.settings.event_lag_seconds
        self.events.append((visible_at, event))

    def read_events(self, first_index: int) -> Response:
        """Return the visible cache events from an index on."""
        now = monotonic()
        with self.lock:
            visible = [
                event
                for visible_at, event in self.events[first_index:]
                if visible_at <= now and event['kind'] != 'lost'
            ]
        return Response({'events': visible, 'incarnation': self.incarnation})

    def export_cache(self, handle: str) -> Response:
        """Return a KV cache to another engine and free its memory."""
        with self.lock:
            self.expire_caches()
            cache = self.caches.pop(handle, None)
            if cache is None:
                return Response({'error': 'no such cache'}, 404)
            run = self.runs.get(cache.request_id)
            if run is not None and run.kind == 'prefill':
                self.end_run(run, 'finished')
        return Response(
            {'state': cache.state, 'prompt_tokens': cache.prompt_tokens},
        )

    def import_cache(self, body: dict[str, Any]) -> Response:
        """Import a KV cache from the engine that computed it."""
        url = f'{body["source_url"]}/export/{body["handle"]}'
        while self.settings.stall_transfers:
            time.sleep(0.05)
        try:
            response = self.pool.request('GET', url, timeout=2.0, retries=False)
        except urllib3.exceptions.HTTPError:
            return Response({'error': 'the source is out of reach'}, 503)
        if response.status != 200:
            return Response({'error': 'the cache is gone'}, 404)
        cache_fields = response.json()
        tokens = int(cache_fields['prompt_tokens'])
        run = self.start_run(
            body['request_id'],
            'decode',
            tokens + int(body['max_tokens']),
        )
        if isinstance(run, Response):
            return run
        run.record['prompt_tokens'] = tokens
        time.sleep(tokens * self.settings.transfer_us / 1e6)
        with self.lock:
            self.caches[body['request_id']] = Kv(
                cache_fields['state'],
                tokens,
                body['request_id'],
                monotonic() + 1e9,
            )
        return Response({'handle': body['request_id']})

    def decode(self, body: dict[str, Any]) -> Response:
        """Return a stream of tokens generated from an imported KV cache."""
        with self.lock:
            cache = self.caches.pop(body['request_id'], None)
            run = self.runs.get(body['request_id'])
        if cache is None or run is None:
            return Response({'error': 'no such cache'}, 404)
        stream = self.stream_tokens(run, cache, body)
        return Response(
            None,
            headers=(('Content-Type', 'application/x-ndjson'),),
            stream=stream,
        )

    def stream_tokens(
        self,
        run: Run,
        cache: Kv,
        body: dict[str, Any],
    ) -> Iterator[bytes]:
        """Yield one JSON line for each token until the run ends."""
        state = bytes.fromhex(cache.state)
        first_index = int(body['first_index'])
        outcome = 'cancelled'
        try:
            for index in range(first_index, int(body['max_tokens'])):
                if not self.wait_for_token(run):
                    return
                word = word_for(state)
                state = chain(state, [word])
                run.record['output_tokens'] += 1
                yield _line(index, f' {word}', finished=False)
            outcome = 'finished'
            yield _line(int(body['max_tokens']), '', finished=True)
        finally:
            with self.lock:
                self.completions += int(outcome == 'finished')
            self.end_run(run, outcome)

    def wait_for_token(self, run: Run) -> bool:
        """Wait for the next token and return whether the run is active."""
        utilization = len(self.runs) / self.settings.slots
        seconds = self.settings.token_ms * SECONDS_PER_MS * (1 + utilization)
        while self.settings.stall:
            if run.cancelled.wait(0.05):
                return False
        return not run.cancelled.wait(seconds)

    def cancel(self, body: dict[str, Any]) -> Response:
        """Cancel a run and free its memory."""
        with self.lock:
            run = self.runs.get(body['request_id'])
            if run is None:
                return Response({'cancelled': False})
            run.cancelled.set()
            for handle, cache in list(self.caches.items()):
                if cache.request_id == run.request_id:
                    del self.caches[handle]
            self.end_run(run, run.record['state'])
        return Response({'cancelled': True})

    def execute_order(self, order: dict[str, Any]) -> Response:
        """Execute an order unless its fencing token is outdated."""
        with self.lock:
            fencing_number = int(order['fencing_number'])
            if (
                self.settings.checks_fencing
                and fencing_number < self.newest_fencing_number
            ):
                return Response({'error': 'old fencing number'}, 409)
            self.newest_fencing_number = max(
                self.newest_fencing_number,
                fencing_number,
            )
            self.orders.append(order)
            if order['kind'] == 'role':
                self.settings.kind = order['role']
        return Response({})

    def set_faults(self, faults: dict[str, Any]) -> Response:
        """Change settings of the running engine.

        The name `cold` makes the engine cold again.
        """
        for name, setting in faults.items():
            if name == 'cold':
                self.completions = 0
            else:
                setattr(self.settings, name, setting)
        return Response({})

    def read_status(self) -> Response:
        """Return the engine's status: active runs, memory and warm-up."""
        with self.lock:
            return Response(
                {
                    'held': list(self.runs),
                    'held_pieces': self.used_pieces(),
                    'running': len(self.runs),
                    'cold': self.is_cold(),
                    'incarnation': self.incarnation,
                    'orders': len(self.orders),
                },
            )

    def read_records(self) -> Response:
        """Return the records of all runs and the memory in use."""
        with self.lock:
            used_pieces = self.used_pieces()
            runs = [dict(record) for record in self.records]
        return Response({'runs': runs, 'held_pieces': used_pieces})


def _line(index: int, text: str, *, finished: bool) -> bytes:
    line = {'index': index, 'tokens': text, 'finished': finished}
    return f'{json.dumps(line)}\n'.encode()
