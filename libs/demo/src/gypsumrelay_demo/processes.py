"""Process management of the demonstration, in place of the platform."""

from __future__ import annotations

import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import attrs
import urllib3
from gypsumrelay_clock import monotonic

HOST: Final = '127.0.0.1'
START_TIMEOUT_SECONDS: Final = 20.0
POLL_INTERVAL_SECONDS: Final = 0.02
# Below the kernel's range of ephemeral ports for outgoing connections.
LISTENING_PORTS: Final = (12_000, 32_000)
OK: Final = 200

# Reservations last until this process ends, also while a system restarts.
_reservations: dict[int, socket.socket] = {}


def free_port() -> int:
    """Return a free port, reserved among demonstrations on this machine.

    Ephemeral ports are excluded, since an outgoing connection could use one
    before the new process listens on it. Another demonstration could choose
    the same port in that time, so an abstract Unix socket reserves the port.
    """
    choose_port = random.SystemRandom().randrange
    while True:
        port = choose_port(*LISTENING_PORTS)
        if _is_free(port) and _reserve(port):
            return port


def _reserve(port: int) -> bool:
    """Reserve a port for this process and return whether that succeeded.

    The kernel allows only one abstract Unix socket of a name.
    """
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        reservation.bind(f'\0gypsumrelay-port-{port}')
    except OSError:
        reservation.close()
        return False
    _reservations[port] = reservation
    return True


def _is_free(port: int) -> bool:
    try:
        socket.create_server((HOST, port)).close()
    except OSError:
        return False
    return True


def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Poll a condition and return whether it was true in time."""
    deadline = monotonic() + seconds
    while monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_INTERVAL_SECONDS)
    return condition()


def get_json(pool: urllib3.PoolManager, url: str) -> Any | None:
    """Return the JSON document at a URL, or None if the request failed."""
    try:
        response = pool.request('GET', url, timeout=3.0, retries=False)
    except urllib3.exceptions.HTTPError:
        return None
    return response.json() if response.status == OK else None


def post_json(pool: urllib3.PoolManager, url: str, body: Any) -> bool:
    """Post a JSON document and return whether the response status is 200."""
    try:
        response = pool.request(
            'POST',
            url,
            body=json.dumps(body).encode(),
            timeout=3.0,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == OK


def accepts(url: str) -> bool:
    """Return whether a server accepts connections at a URL."""
    parsed_url = urllib3.util.parse_url(url)
    try:
        socket.create_connection(
            (parsed_url.host or HOST, parsed_url.port or 0)
        ).close()
    except OSError:
        return False
    return True


@attrs.define(eq=False)
class ManagedProcess:
    """Child process that can be restarted.

    Attributes:
        name: Name of the process.
        arguments: Arguments of the Python interpreter.
        output: File that standard output and standard error are appended to.
        running: The last started child process.
        incarnation: Identifies the last start of the process.
    """

    name: str
    arguments: list[str]
    output: Path
    running: subprocess.Popen[bytes] | None = None
    incarnation: str = ''

    @property
    def pid(self) -> int:
        """Return the id of the last started process, or 0 without one."""
        return self.running.pid if self.running else 0

    def start(self) -> None:
        """Start the process."""
        self.incarnation = secrets.token_hex(4)
        with self.output.open('ab') as output:
            self.running = subprocess.Popen(  # noqa: S603 - fixed arguments
                [sys.executable, *self.arguments],
                stdout=output,
                stderr=output,
                env=os.environ,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running is not None and self.running.poll() is None:
            self.running.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.running is not None and self.running.poll() is None

    def wait(self, seconds: float) -> int | None:
        """Wait for the process to end and return its exit code.

        None is returned for a process that was not started or did not end in
        time.
        """
        if self.running is None:
            return None
        try:
            return self.running.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        self.wait(START_TIMEOUT_SECONDS)
