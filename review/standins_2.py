"""Stand-ins of the second review: platform, replicas, relays and callers.

The store is the project's own stand-in. Replicas and callers are small ones
of raw sockets, so that a case controls each byte and each pause.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from gypsumrelay_soak.store import StoreState, as_record, start_store

ROOT: Final = Path(__file__).resolve().parent.parent
HOST: Final = 'desk.example'
KEY: Final = 'key-of-the-desk'
TENANT: Final = 'desk'
HEARTBEAT_SECONDS: Final = 1.2
HANDLE_SECONDS: Final = 0.5
BROKEN: Final = 1
HELD: Final = 0
NOT_RUN: Final = 2
# SO_LINGER value with which close() resets the connection.
RESET: Final = struct.pack('ii', 1, 0)


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        """Open the file."""
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.began_at = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        with self.lock:
            if not self.file.closed:
                seconds = time.monotonic() - self.began_at
                self.file.write(f'{seconds:9.3f} {text}\n')

    def close(self) -> None:
        """Write the rest and close the file."""
        with self.lock:
            self.file.close()


class Request:
    """A request as a replica reads it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        """Parse a head."""
        first, *lines = head.decode('latin-1').split('\r\n')
        self.method, self.target, _ = first.split(' ', 2)
        self.headers: dict[str, str] = {}
        for line in lines:
            name, _, text = line.partition(':')
            self.headers[name.strip().lower()] = text.strip()
        self.body = body

    @property
    def id(self) -> str:
        """Return the id of the caller's attempt."""
        return self.headers.get('x-request-id', '')


Run = Callable[['Replica', Request, socket.socket], bool]


class Replica:
    """A replica; `run` answers a request and returns whether to go on."""

    def __init__(
        self,
        world: World,
        service: str,
        phase: str,
        run: Run | None = None,
        slots: int = 64,
        host: str = '127.0.0.1',
    ) -> None:
        """Listen, register and serve."""
        self.world, self.service, self.phase = world, service, phase
        self.run, self.slots = run, slots
        self.name = f'i-{secrets.token_hex(4)}'
        self.born = int(time.time() * 1000)
        self.zone = 'zone-0'
        self.sequence = 0
        self.state = 'ready'
        self.handles: dict[str, float] = {}
        self.stopped = threading.Event()
        self.listener = socket.create_server((host, 0), backlog=256)
        self.address = f'{host}:{self.listener.getsockname()[1]}'
        self.register()
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._keep_registered, daemon=True).start()

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
            entry['Phase'] = self.phase
            entry['Models'] = [{'Name': 'm', 'Version': 1, 'Adapters': []}]
        self.world.store.put('keyed.servers', self.name, as_record(entry))

    def _keep_registered(self) -> None:
        while not self.stopped.wait(HEARTBEAT_SECONDS):
            self.register()

    def _accept(self) -> None:
        while not self.stopped.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            reader = connection.makefile('rb')
            while True:
                request = read_request(reader)
                if request is None or not self._answer(request, connection):
                    return

    def _answer(self, request: Request, connection: socket.socket) -> bool:
        if request.target.startswith('/api/kv-handle/'):
            self.handles.pop(request.target.rpartition('/')[2], None)
            return send_whole(connection, 200, b'{}')
        if request.target == '/api/order':
            return send_whole(connection, 409, b'{}')
        if request.headers.get('x-expect-replica', self.name) != self.name:
            return send_whole(connection, 421, b'{}')
        phase = request.headers.get('x-serving-phase', '')
        if phase == 'prefill':
            return self._prefill(request, connection)
        source = request.headers.get('x-kv-source', '')
        if source and not self.world.take_handle(source):
            headers = {'X-Request-Id': request.id, 'X-Not-Executed': '1'}
            return send_whole(connection, 503, b'{}', headers)
        self.world.record.note(f'replica {self.name} runs {request.id}')
        if self.run is None:
            return send_whole(connection, 500, b'{}')
        return self.run(self, request, connection)

    def _prefill(self, request: Request, connection: socket.socket) -> bool:
        if self.phase != 'prefill':
            return send_whole(connection, 421, b'{}')
        time.sleep(self.world.prefill_seconds)
        handle = secrets.token_hex(6)
        self.handles[handle] = time.monotonic() + HANDLE_SECONDS
        body = json.dumps({'KvHandle': handle, 'Tokens': 300, 'Version': 1})
        headers = {'X-Request-Id': request.id}
        return send_whole(connection, 200, body.encode(), headers)


class World:
    """All parts of a case."""

    def __init__(self, folder: Path) -> None:
        """Start the store."""
        self.folder = folder
        self.record = Record(folder)
        self.store = StoreState(random.Random(1))  # noqa: S311
        self.store_server = start_store(self.store, '127.0.0.1')
        self.work = Path(tempfile.mkdtemp(prefix='review-'))
        self.replicas: list[Replica] = []
        self.relays: list[Relay] = []
        self.prefill_seconds = 0.02
        self.version = 1

    def add(self, *given: Any, **options: Any) -> Replica:
        """Start a replica."""
        replica = Replica(self, *given, **options)
        self.replicas.append(replica)
        return replica

    def take_handle(self, source: str) -> bool:
        """Take the KV cache at an address; return whether it was there."""
        address, _, handle = source.partition('/')
        for replica in self.replicas:
            if replica.address == address:
                return replica.handles.pop(handle, 0) > time.monotonic()
        return False

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        **limits: Any,
    ) -> None:
        """Write a version of the configuration."""
        content = {
            'Version': self.version,
            'Routes': routes,
            'Services': services,
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 4194304,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
            'Tenants': [
                {
                    'Name': TENANT,
                    'ApiKeys': [KEY],
                    'Priority': 1,
                    'Unit': 'token_stream',
                    'PlainTokens': 200,
                    'RatePerS': 3600000,
                    'Burst': 3600000,
                    **limits,
                }
            ],
        }
        self.version += 3
        self.store.put('keyed.op', 'config', as_record(content))

    def add_relays(self, count: int) -> None:
        """Give relays their addresses."""
        net = 1 + os.getpid() % 250
        hosts = [f'127.66.{net}.{number + 1}' for number in range(count)]
        ports = free_ports(hosts, 4)
        for number, host in enumerate(hosts):
            self.relays.append(Relay(self, number, host, hosts, ports))

    def await_relays(self) -> None:
        """Wait until all relays are ready."""
        deadline = time.monotonic() + 20
        for relay in self.relays:
            while not relay.is_ready():
                if time.monotonic() > deadline:
                    raise RuntimeError('a relay is not ready')
                time.sleep(0.1)

    def start_relays(self, count: int) -> None:
        """Start relays and wait until all of them are ready."""
        self.add_relays(count)
        for relay in self.relays:
            relay.start()
        self.await_relays()
        time.sleep(1)

    def stop(self) -> None:
        """End all processes and servers."""
        for relay in self.relays:
            relay.end()
        for replica in self.replicas:
            replica.stopped.set()
            replica.listener.close()
        self.store_server.stop()
        self.record.close()
        shutil.rmtree(self.work, ignore_errors=True)


class Relay:
    """A relay process, started as the deploy file states."""

    def __init__(
        self,
        world: World,
        number: int,
        host: str,
        hosts: list[str],
        ports: list[int],
    ) -> None:
        """Take the addresses."""
        self.world, self.number, self.host = world, number, host
        self.front, self.ready, self.link, self.metrics = ports
        self.seeds = [f'{one}:{self.link}' for one in hosts[:3]]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        path = self.write_settings()
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        variables['GYPSUMRELAY_NODE_FILE'] = str(path)
        variables['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.world.work / f'relay-{self.number}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'gypsumrelay_adapter'],
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )
        self.world.record.note(f'relay {self.number} starts')

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        path = self.world.work / f'relay-{self.number}.json'
        path.write_text(json.dumps(self._settings()))
        return path

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.world.record.note(f'relay {self.number} gets {number.name}')
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the relay says that it is ready."""
        with contextlib.suppress(OSError):
            with socket.create_connection((self.host, self.ready), 1) as sock:
                sock.sendall(b'GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n')
                return sock.recv(64).startswith(b'HTTP/1.1 200')
        return False

    def _settings(self) -> dict[str, Any]:
        return {
            'instance': {
                'name': f'front-{self.number}',
                'availability_zone': 'zone-0',
                'caller_address': f'{self.host}:{self.front}',
                'ready_address': f'{self.host}:{self.ready}',
                'host': self.host,
                'link_port': self.link,
                'metrics_port': self.metrics,
                'seeds': self.seeds,
                'processor_cores': 0.817,
                'link_mbps': 1000.0,
            },
            'store': {'address': f'127.0.0.1:{self.world.store_server.port}'},
            'shared_secret': 'review',
            'capacity': {'ready_by_load': False, 'memory_mb': 150},
            'dispatch': {
                'learn_transfers': False,
                'repeat_window_seconds': 10,
                'repeat_ratio': 0.2,
                'repeat_slack': 58,
                'usual_prompt_tokens': 3200,
                'usual_output_tokens': 1100,
                'overdraft_tokens': 140000,
                'learn_performance': False,
            },
        }


class Answer:
    """What a caller got.

    `complete` tells whether the answer ended as its framing says.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False


def call(
    relay: Relay,
    method: str,
    target: str,
    request_id: str,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> Answer:
    """Send a request on a new connection and read its answer."""
    answer = Answer()
    until = time.monotonic() + deadline_ms / 1000 + 1
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Credential: {KEY}',
        f'X-Deadline-Ms: {deadline_ms}',
        *(f'{name}: {text}' for name, text in (headers or {}).items()),
    ]
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    raw = '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
    try:
        with socket.create_connection((relay.host, relay.front), 1) as sock:
            sock.sendall(raw)
            read_answer(sock, answer, until)
    except OSError:
        return answer
    return answer


def read_answer(sock: socket.socket, answer: Answer, until: float) -> None:
    """Read one answer into `answer`, until an instant at the latest."""

    def more() -> bytes:
        sock.settimeout(max(0.01, until - time.monotonic()))
        return sock.recv(65536)

    data = b''
    while b'\r\n\r\n' not in data:
        piece = more()
        if not piece:
            return
        data += piece
    head, _, data = data.partition(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    answer.status = int(first.split(' ')[1])
    for line in lines:
        name, _, text = line.partition(':')
        answer.headers[name.lower()] = text.strip()
    if answer.headers.get('transfer-encoding') != 'chunked':
        length = int(answer.headers['content-length'])
        while len(data) < length:
            piece = more()
            if not piece:
                answer.body = data
                return
            data += piece
        answer.body, answer.complete = data[:length], True
        return
    while True:
        size, found, rest = data.partition(b'\r\n')
        length = int(size, 16) if found else 0
        if found and len(rest) >= length + 2:
            answer.body += rest[:length]
            data = rest[length + 2 :]
            if not length:
                answer.complete = True
                return
            continue
        piece = more()
        if not piece:
            return
        data += piece


def read_request(reader: Any) -> Request | None:
    """Read a request with its body; None at the end."""
    head = b''
    while not head.endswith(b'\r\n\r\n'):
        line = reader.readline()
        if not line:
            return None
        head += line
    request = Request(head[:-4], b'')
    request.body = reader.read(int(request.headers.get('content-length', 0)))
    return request


def send_whole(
    connection: socket.socket,
    status: int,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> bool:
    """Send an answer with a length; return True."""
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    connection.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    return True


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free at all the given addresses."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port in found or not all(is_free(host, port) for host in hosts):
            continue
        found.append(port)
    return found


def is_free(host: str, port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder: Path, play: Callable[[World], int]) -> int:
    """Play a case; return the exit code of its script."""
    try:
        world = World(folder)
    except OSError:
        return NOT_RUN
    try:
        return play(world)
    except RuntimeError as error:
        world.record.note(f'could not run: {error}')
        return NOT_RUN
    finally:
        world.stop()
