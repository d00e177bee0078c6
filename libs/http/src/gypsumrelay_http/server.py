"""HTTP servers that run in their own thread."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Final

import waitress

from gypsumrelay_http.workers import OnDemandDispatcher

if TYPE_CHECKING:
    import socket

DEFAULT_THREADS: Final = 4

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


def start_server(
    application: Application,
    address: tuple[str, int],
    channel_class: Callable[..., Any] | None = None,
    bound: socket.socket | None = None,
    **options: Any,
) -> Any:
    """Serve a WSGI application in a new thread and return the server.

    Args:
        application: WSGI application.
        address: Host and port to listen on.
        channel_class: Class of the connections, or what makes one; None for
            the default.
        bound: Socket that listens already, used in place of the address.
        options: Options of waitress; `threads` is the maximum number of
            worker threads.
    """
    threads = options.pop('threads', DEFAULT_THREADS)
    place = (
        {'host': address[0], 'port': address[1]}
        if bound is None
        else {'sockets': [bound]}
    )
    server = waitress.create_server(application, threads=1, **place, **options)
    server.task_dispatcher.set_thread_count(0)
    server.task_dispatcher = OnDemandDispatcher(threads)
    if channel_class is not None:
        server.channel_class = channel_class
    threading.Thread(target=server.run, name='http', daemon=True).start()
    return server
