"""Finds out whether processes run at addresses, without their help.

The kernel refuses or accepts a connection at once, however busy the process
is.
"""

from __future__ import annotations

import contextlib
import errno
import selectors
import socket
from typing import TYPE_CHECKING, Final

from gypsumrelay_clock import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time limit in seconds; a host that does not answer at all, refused or not, is
# then unknown.
PROBE_SECONDS: Final = 0.1


def probe(hosts: Iterable[str], port: int) -> dict[str, bool]:
    """Return for each address whether a process listens, if that is known."""
    found: dict[str, bool] = {}
    until = monotonic() + PROBE_SECONDS
    with selectors.DefaultSelector() as selector:
        for host in hosts:
            # Without a free descriptor the rest is unknown.
            with contextlib.suppress(OSError):
                _connect(selector, found, host, port)
        while selector.get_map() and monotonic() < until:
            _collect(selector, found, until)
        for key in list(selector.get_map().values()):
            _close(key.fileobj)
    return found


def _connect(
    selector: selectors.BaseSelector,
    found: dict[str, bool],
    host: str,
    port: int,
) -> None:
    connection = socket.socket()
    connection.setblocking(False)
    code = connection.connect_ex((host, port))
    if code == errno.EINPROGRESS:
        selector.register(connection, selectors.EVENT_WRITE, host)
    else:
        _record(found, host, code)
        connection.close()


def _collect(
    selector: selectors.BaseSelector, found: dict[str, bool], until: float
) -> None:
    for key, _ in selector.select(max(0, until - monotonic())):
        connection = key.fileobj
        if isinstance(connection, socket.socket):
            option = socket.SO_ERROR
            code = connection.getsockopt(socket.SOL_SOCKET, option)
            _record(found, key.data, code)
        selector.unregister(connection)
        _close(connection)


def _record(found: dict[str, bool], host: str, code: int) -> None:
    if code in {0, errno.ECONNREFUSED}:
        found[host] = not code


def _close(connection: object) -> None:
    if isinstance(connection, socket.socket):
        connection.close()
