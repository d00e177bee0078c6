"""Stand-ins of the platform, replicas and clients for the cases of the review.

Only the standard library is used. The relays are the project's own program,
started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import http.client
import json
import os
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qsl, urlsplit

ROOT: Final = Path(__file__).resolve().parent.parent
CALLER_PORT: Final = 8221
READY_PORT: Final = 8224
CONTROL_PORT: Final = 8229
FIRST_PEER_PORT: Final = 7600
HOST: Final = 'ficu95.example'
KEY: Final = 'i9n73hh2b9wu3fexd9dn'
TENANT: Final = 'hule930'
HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2
# Time without an event after which a client abandons a stream: four times
# the objective of 0.9 s.
GAP_SECONDS: Final = 3.6
# Limit of a machine of the site files, and its descriptors for files.
MAX_DESCRIPTORS: Final = 4100


def has_trouble() -> bool:
    """Return whether the disruption of the case is played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """The record of a run: what was sent, answered and run, with times."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record in a folder."""
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.path = folder / 'record.txt'
        self.lines = self.path.open('w')

    def now(self) -> float:
        """Return the time of the run in seconds."""
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        """Write one line with the time of the run."""
        with self.lock:
            self.lines.write(f'{self.now():9.3f} {text}\n')
            self.lines.flush()


class Handler(BaseHTTPRequestHandler):
    """Base of the servers: HTTP/1.1 without logs and delays."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *_: object) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        """Read the body of a request with a length."""
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def answer(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole answer."""
        self.send_response(status)
        for name, text in (headers or {}).items():
            self.send_header(name, text)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class HttpServer(ThreadingHTTPServer):
    """HTTP server with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, *_: object) -> None:
        """Ignore connections that the peer has broken."""


def serve(handler: type[BaseHTTPRequestHandler], host: str) -> HttpServer:
    """Start a server at a free port."""
    server = HttpServer((host, 0), handler)
    threading.Thread(
        target=server.serve_forever, args=(0.05,), daemon=True
    ).start()
    return server


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self, host: str) -> None:
        """Start an empty store."""
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.changed = threading.Condition()
        # Called after an append of the system, before it is answered.
        self.on_append: Callable[[str, str], None] = lambda *_: None
        self.server = serve(self._handler(), host)
        self.address = f'{host}:{self.server.server_address[1]}'

    def put(self, topic: str, key: str, content: Any) -> int:
        """Append a record; None as content drops the key."""
        raw = b'' if content is None else content
        if not isinstance(raw, bytes):
            raw = json.dumps(raw).encode()
        with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, raw))
            self.changed.notify_all()
            return len(records) - 1

    def _handler(self) -> type[Handler]:
        store = self

        class StoreHandler(Handler):
            """Answers calls to the store."""

            def do_GET(self) -> None:
                """Answer a read."""
                url = urlsplit(self.path)
                query = dict(parse_qsl(url.query))
                if url.path == '/api/log-newest':
                    page = json.dumps(store._newest(query['Topic'])).encode()
                    self.answer(200, page)
                    return
                self.answer(*store._changes(query))

            def do_POST(self) -> None:
                """Answer an append."""
                query = dict(parse_qsl(urlsplit(self.path).query))
                body = self.read_body()
                content = body[4:]
                key_end = 1 + content[0]
                key = content[1:key_end].decode()
                topic = query['Topic']
                with store.changed:
                    end = len(store.topics.get(topic, ()))
                    if 'At' in query and int(query['At']) != end:
                        self.answer(412, json.dumps({'End': end}).encode())
                        return
                    offset = store.put(topic, key, content[key_end:])
                store.on_append(topic, key)
                page = {'Offset': offset, 'End': offset + 1}
                self.answer(200, json.dumps(page).encode())

        return StoreHandler

    def _newest(self, topic: str) -> dict[str, Any]:
        with self.changed:
            records = list(self.topics.get(topic, ()))
        newest: dict[str, dict[str, Any]] = {}
        for offset, (key, content) in enumerate(records):
            newest.pop(key, None)
            if content:
                value = base64.b64encode(content).decode()
                newest[key] = {'Key': key, 'Value': value, 'Offset': offset}
        items = [newest[key] for key in sorted(newest)]
        return {'items': items, 'HasMore': False, 'End': len(records)}

    def _changes(self, query: dict[str, str]) -> tuple[int, bytes]:
        start = int(query['From'])
        until = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        with self.changed:
            while len(self.topics.get(query['Topic'], ())) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
            records = list(self.topics.get(query['Topic'], ()))
        out = struct.pack('>QQ', len(records), 0)
        for key, content in records[start:]:
            raw = bytes([len(key)]) + key.encode() + content
            out += struct.pack('>I', len(raw)) + raw
        return 200, out


class Replica:
    """A replica of a model or of a plain service.

    Attributes:
        work: Runs an accepted request; set by the case.
        arrivals: Time, request id and path of each request.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        host: str,
        service: str,
        zone: str,
        phase: str = '',
        slots: int = 6,
    ) -> None:
        """Start a replica and its heartbeats."""
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.phase = phase
        self.slots = slots
        self.name = f'i-{uuid.uuid4().hex[:8]}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.sequence = 0
        self.lock = threading.Lock()
        self.running = 0
        self.stopped = threading.Event()
        self.connections: set[socket.socket] = set()
        self.handles: set[str] = set()
        self.arrivals: list[tuple[float, str, str]] = []
        self.work: Callable[[Handler, str], None] = self.answer_plain
        self.server = serve(self._handler(), host)
        self.address = f'{host}:{self.server.server_address[1]}'
        self.register()
        threading.Thread(target=self._beat, daemon=True).start()

    def register(self) -> None:
        """Write the entry in the list of replicas."""
        self.sequence += 1
        entry = {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': self.state,
            'ColdLeftMs': 0,
            'Seq': self.sequence,
            'born': self.born,
        }
        if self.phase:
            entry |= {
                'Phase': self.phase,
                'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
            }
        self.store.put('keyed.servers', self.name, entry)

    def drain(self) -> None:
        """Report that the replica drains."""
        self.state = 'draining'
        self.register()
        self.record.write(f'store acknowledged: {self.name} is draining')

    def exit(self) -> None:
        """End: remove the entry, refuse and reset all connections."""
        self.stopped.set()
        self.store.put('keyed.servers', self.name, None)
        self.record.write(f'replica {self.name} exits')
        self.server.socket.close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def sealed(self, request_id: str) -> dict[str, str]:
        """Return the headers of a sound answer."""
        return {
            'X-Request-Id': request_id,
            'X-Response-Seal': f'{self.name}.{request_id}',
            'Keep-Alive': 'timeout=5',
        }

    def answer_plain(self, handler: Handler, request_id: str) -> None:
        """Work for 45 ms and answer."""
        time.sleep(0.045)
        body = f'done {request_id}'.encode()
        handler.answer(200, body, self.sealed(request_id))

    def _beat(self) -> None:
        while not self.stopped.wait(1.2):
            self.register()

    def _handler(self) -> type[Handler]:
        replica = self

        class ReplicaHandler(Handler):
            """Answers requests to the replica."""

            def setup(self) -> None:
                """Note the connection."""
                super().setup()
                replica.connections.add(self.connection)

            def finish(self) -> None:
                """Forget the connection."""
                replica.connections.discard(self.connection)
                with contextlib.suppress(OSError):
                    super().finish()

            def do_GET(self) -> None:
                """Answer a request."""
                self._accept()

            def do_POST(self) -> None:
                """Answer a request or an order."""
                self._accept()

            def do_DELETE(self) -> None:
                """Free a KV cache."""
                replica.handles.discard(self.path.rpartition('/')[2])
                self.answer(200, b'{}')

            def _accept(self) -> None:
                self.body = self.read_body()
                expected = self.headers.get('X-Expect-Replica')
                if expected not in {None, replica.name}:
                    self.answer(421, b'{}')
                    return
                if self.path == '/api/order':
                    self.answer(409, b'{}')
                    return
                request_id = self.headers.get('X-Request-Id') or ''
                at = replica.record.now()
                replica.arrivals.append((at, request_id, self.path))
                with replica.lock:
                    is_full = replica.running >= replica.slots
                    replica.running += not is_full
                if is_full:
                    not_run = {
                        'X-Request-Id': request_id,
                        'X-Not-Executed': '1',
                    }
                    self.answer(503, b'{}', not_run)
                    return
                replica.record.write(
                    f'{replica.name} takes {self.command} {self.path} '
                    f'{request_id}'
                )
                try:
                    replica.work(self, request_id)
                finally:
                    with replica.lock:
                        replica.running -= 1

        return ReplicaHandler


class Relay:
    """A process of the system on one machine."""

    def __init__(
        self,
        number: int,
        host: str,
        seeds: list[str],
        store_address: str,
        folder: Path,
        zone: str,
    ) -> None:
        """Set the machine's addresses without starting the process."""
        self.name = f'front-{number}'
        self.host = host
        self.path = folder / f'{self.name}.json'
        self.log = folder / f'{self.name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.path.write_text(
            json.dumps(
                {
                    'instance': {
                        'name': self.name,
                        'availability_zone': zone,
                        'caller_address': f'{host}:{CALLER_PORT}',
                        'ready_address': f'{host}:{READY_PORT}',
                        'host': host,
                        'link_port': FIRST_PEER_PORT,
                        'metrics_port': FIRST_PEER_PORT + 1,
                        'seeds': seeds,
                        'processor_cores': 0.817,
                        'link_mbps': 1000.0,
                    },
                    'store': {'address': store_address},
                    'shared_secret': 'review',
                    'dispatch': {
                        'repeat_window_seconds': 10,
                        'repeat_ratio': 0.2,
                        'repeat_slack': 56,
                        'usual_prompt_tokens': 3200,
                        'usual_output_tokens': 1100,
                        'overdraft_tokens': 140000,
                    },
                }
            )
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['relay']['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'GYPSUMRELAY_NODE_FILE': str(self.path),
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(  # noqa: S603
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        most = min(MAX_DESCRIPTORS, descriptor_limit())
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (most, most))

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Ask the readiness page as the platform does."""
        try:
            return get_status(self.host, READY_PORT, '/api/readyz') == 200
        except OSError:
            return False


class World:
    """The parts of one run, which `close` ends."""

    def __init__(self, folder: Path, zones: tuple[str, ...]) -> None:
        """Start a record and a store."""
        limit = descriptor_limit()
        self.record = Record(folder)
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.net = find_network()
        self.store = Store('127.0.0.1')
        self.replicas: list[Replica] = []
        self.relays: list[Relay] = []
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def add_replica(self, service: str, **options: Any) -> Replica:
        """Start a replica, in the zones by turns."""
        zone = self.zones[len(self.replicas) % len(self.zones)]
        zone = options.pop('zone', zone)
        replica = Replica(
            self.record, self.store, '127.0.0.1', service, zone, **options
        )
        self.replicas.append(replica)
        return replica

    def start_relays(self, count: int, store_address: str = '') -> None:
        """Start the relays and wait until all are ready and settled."""
        hosts = [f'127.77.{self.net}.{one + 1}' for one in range(count)]
        seeds = [f'{host}:{CONTROL_PORT}' for host in hosts[:3]]
        for number, host in enumerate(hosts):
            relay = Relay(
                number,
                host,
                seeds,
                store_address or self.store.address,
                self.folder,
                self.zones[number % len(self.zones)],
            )
            self.relays.append(relay)
            relay.start()
        until = time.monotonic() + 20
        while not all(relay.is_ready() for relay in self.relays):
            if time.monotonic() > until:
                raise CannotRunError('the relays do not get ready')
            time.sleep(0.1)
        # As on the site, traffic starts seconds after the machines do.
        time.sleep(5)

    def close(self) -> None:
        """End all processes that the run started."""
        for relay in self.relays:
            relay.signal(signal.SIGCONT)
            relay.signal(signal.SIGKILL)
            if relay.process is not None:
                relay.process.wait()
        if os.environ.get('KEEP_LOGS'):
            sys.stderr.write(f'logs: {self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case cannot run here."""


def run_case(
    folder: Path, zones: tuple[str, ...], play: Callable[[World], bool]
) -> int:
    """Play a case and return its exit code.

    Args:
        folder: Folder of the case, which gets `record.txt`.
        zones: Zones of the deployment.
        play: Plays the case; returns whether the rule held.
    """
    if not (ROOT / 'target/deps').is_dir():
        sys.stderr.write('build the deploy file first\n')
        return NOT_RUN
    world = World(folder, zones)
    try:
        held = play(world)
    except (CannotRunError, OSError) as error:
        world.record.write(f'the case cannot run: {error}')
        return NOT_RUN
    finally:
        world.close()
    world.record.write('the rule held' if held else 'the rule is broken')
    return HELD if held else BROKEN


def descriptor_limit() -> int:
    """Return how many descriptors a process of this machine may have."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[1]


def find_network() -> int:
    """Return the number of a loopback subnet whose ports are free."""
    for number in range(1, 250):
        host = f'127.77.{(os.getpid() + number) % 250 + 1}.1'
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, CALLER_PORT))
            except OSError:
                continue
        return (os.getpid() + number) % 250 + 1
    raise CannotRunError('no free loopback subnet')


def get_status(host: str, port: int, path: str) -> int:
    """Return the status of a page; raises `OSError` without an answer."""
    connection = http.client.HTTPConnection(host, port, timeout=1)
    try:
        connection.request('GET', path)
        return connection.getresponse().status
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration, named like its path."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'Service': service,
        'MaxAttempts': 1,
        'Priority': 1,
    } | fields


def configuration(
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    idle_ms: int = 30_000,
) -> dict[str, Any]:
    """Return the operator's configuration with one tenant."""
    return {
        'Version': 3,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': idle_ms,
        },
        'Tenants': [{'Name': TENANT, 'ApiKeys': [KEY], 'PlainTokens': 200}],
    }


def request_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
        'X-Credential': KEY,
    }


def new_id() -> str:
    """Return a new request id."""
    return uuid.uuid4().hex[:16]


class Client:
    """A client with one connection at a time."""

    def __init__(self, host: str) -> None:
        """Set the machine that the platform chose for this client."""
        self.host = host
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def exchange(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b''
    ) -> tuple[int, bytes]:
        """Send a request; return status and body of the whole answer."""
        if self.writer is None:
            # Clients allow a new connection one second.
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, CALLER_PORT), 1
            )
        assert self.reader is not None  # noqa: S101
        lines = [f'{name}: {text}' for name, text in headers.items()]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([f'{method} {path} HTTP/1.1', *lines])
        self.writer.write(f'{head}\r\n\r\n'.encode() + body)
        answer = await self.reader.readuntil(b'\r\n\r\n')
        fields = answer.decode('latin-1').split('\r\n')
        values = {
            name.lower(): text.strip()
            for name, _, text in (line.partition(':') for line in fields[1:])
        }
        if values.get('transfer-encoding') == 'chunked':
            content = await self._read_chunks(self.reader)
        else:
            length = int(values.get('content-length', 0))
            content = await self.reader.readexactly(length)
        if values.get('connection', '').lower() == 'close':
            self.drop()
        return int(fields[0].split(' ')[1]), content

    async def _read_chunks(self, reader: asyncio.StreamReader) -> bytes:
        content = b''
        while True:
            # Clients abandon a stream after such a gap.
            line = await asyncio.wait_for(reader.readline(), GAP_SECONDS)
            size = int(line, 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return content
            content += chunk[:-2]

    def drop(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# Model replicas: tokens that are read in a millisecond, time between tokens.
PREFILL_TOKENS_PER_MS: Final = 100 / 3
TOKEN_SECONDS: Final = 0.015
HANDLE_SECONDS: Final = 0.5


class ModelReplica(Replica):
    """A replica of a model that prefills prompts or decodes streams.

    Attributes:
        slowness: Factor by which its work takes longer.
        models: All model replicas by address, to fetch KV caches.
        runs: Time, request id and last event of each run.
    """

    def __init__(self, models: dict[str, ModelReplica], *given: Any) -> None:
        """Start a replica and add it to the others."""
        self.slowness = 1.0
        self.models = models
        self.expiry: dict[str, float] = {}
        # Tokens of an event, and seconds between tokens.
        self.stride = 1
        self.token_seconds = TOKEN_SECONDS
        self.runs: list[tuple[float, str]] = []
        super().__init__(*given)
        self.work = self.run_model
        models[self.address] = self

    def run_model(self, handler: Handler, request_id: str) -> None:
        """Prefill a prompt or decode a stream."""
        is_prefill = handler.headers.get('X-Serving-Phase') == 'prefill'
        if is_prefill is not (self.phase == 'prefill'):
            handler.answer(421, b'{}', {'X-Request-Id': request_id})
            return
        counts = handler.headers['X-Token-Counts'].split(',')
        if is_prefill:
            self._prefill(handler, request_id, int(counts[0]))
            return
        source = handler.headers.get('X-Kv-Source')
        if source and not self._fetch(source):
            not_run = {'X-Request-Id': request_id, 'X-Not-Executed': '1'}
            handler.answer(503, b'{}', not_run)
            return
        self._decode(handler, request_id, int(counts[1]))

    def _prefill(self, handler: Handler, request_id: str, tokens: int) -> None:
        time.sleep(tokens / PREFILL_TOKENS_PER_MS / 1000 * self.slowness)
        handle = uuid.uuid4().hex[:12]
        self.expiry[handle] = time.monotonic() + HANDLE_SECONDS
        answer = {'KvHandle': handle, 'Tokens': tokens, 'Version': 1}
        headers = {
            'X-Request-Id': request_id,
            'Content-Type': 'application/json',
            'Keep-Alive': 'timeout=5',
        }
        handler.answer(200, json.dumps(answer).encode(), headers)

    def _fetch(self, source: str) -> bool:
        address, _, handle = source.partition('/')
        owner = self.models.get(address)
        if owner is None or owner.stopped.is_set():
            return False
        return owner.expiry.pop(handle, 0) > time.monotonic()

    def _decode(self, handler: Handler, request_id: str, tokens: int) -> None:
        self.runs.append((self.record.now(), request_id))
        handler.send_response(200)
        for name, text in self.sealed(request_id).items():
            handler.send_header(name, text)
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        first = int(handler.headers.get('Last-Event-Id') or 0)
        for number in range(first + 1, tokens // self.stride + 1):
            time.sleep(self.token_seconds * self.stride * self.slowness)
            event = stream_event(request_id, number)
            handler.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
        handler.wfile.write(b'0\r\n\r\n')


def stream_event(request_id: str, number: int) -> bytes:
    """Return an event of a stream."""
    return f'id: {number}\ndata: {request_id} token {number}\n\n'.encode()
