"""The HTTP server for callers, and the servers for probes and metrics."""

from __future__ import annotations

import select
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from gypsumrelay_http import start_server

from gypsumrelay_relay.admission import application
from gypsumrelay_relay.buffers.allocator import use_one_heap
from gypsumrelay_relay.buffers.channel import BufferedChannel, BufferedTask

if TYPE_CHECKING:
    import socket

    from gypsumrelay_relay.context import Relay
    from gypsumrelay_relay.routes import CallerLimits

BACKLOG: Final = 1024
# Size in bytes up to which bodies and answers are buffered in memory; the
# instances have no disk.
MEMORY_BUFFER_BYTES: Final = 67_108_864
# Maximum number of connections from callers, each of which takes a file
# descriptor.
CONNECTION_LIMIT: Final = 2000


class DrainingTask(BufferedTask):
    """Closes the connection after its answer once the relay is draining."""

    def build_response_header(self) -> bytes:
        """Return the head of the answer.

        Requests that were read behind this one are answered before the
        connection closes.
        """
        is_last = len(self.channel.requests) == 1
        if is_last and self.channel.server.draining.is_set():
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class CallerChannel(BufferedChannel):
    """A connection from a caller.

    Attributes:
        closes_when_idle: Whether it closes as soon as its request has ended and
            its answer is sent.
    """

    task_class = DrainingTask
    closes_when_idle = False

    def readable(self) -> bool:
        """Return whether to wait for bytes; called after each request."""
        if self.closes_when_idle and is_idle(self):
            self.will_close = True
        return bool(super().readable())


def serve_callers(relay: Relay, bound: socket.socket | None = None) -> Any:
    """Start the HTTP server for callers and return it.

    Args:
        relay: The relay.
        bound: Socket that listens for callers already; None to listen on the
            address in the settings.
    """
    settings = relay.settings
    if settings.capacity.memory_mb:
        use_one_heap()

    def open_channel(*given: Any, **options: Any) -> CallerChannel:
        return CallerChannel(*given, memory=relay.memory, **options)

    server = start_server(
        application(relay),
        split_address(settings.instance.caller_address),
        open_channel,
        bound,
        threads=settings.max_open_requests,
        backlog=BACKLOG,
        connection_limit=CONNECTION_LIMIT,
        channel_request_lookahead=1,
        inbuf_overflow=MEMORY_BUFFER_BYTES,
        outbuf_overflow=MEMORY_BUFFER_BYTES,
        send_bytes=1,
        ident=None,
        clear_untrusted_proxy_headers=False,
    )
    server.draining = relay.draining
    return server


def apply_size_limits(server: Any, limits: CallerLimits) -> None:
    """Set the size limits for requests of callers."""
    server.adj.max_request_header_size = limits.header_bytes
    server.adj.max_request_body_size = limits.body_bytes


def close_to_new_requests(server: Any) -> threading.Event:
    """Stop listening and close idle connections.

    Busy connections close after their answers.

    Returns:
        An event that is set once this is done.
    """
    closed = threading.Event()

    def close() -> None:
        close_idle(server)
        closed.set()

    server.trigger.pull_trigger(close)
    return closed


def count_busy_connections(server: Any) -> int:
    """Return the number of connections with a request or unsent bytes."""
    return sum(map(_is_busy, list(server.active_channels.values())))


def explain_nothing(query: str) -> bytes:
    """Return an empty explanation; the default without a coordinator."""
    return b'{}'


def serve_probes(
    relay: Relay,
    is_ready: Callable[[], bool],
    status: Callable[[], bytes],
    explain: Callable[[str], bytes] = explain_nothing,
) -> list[Any]:
    """Start the servers for readiness probes and for metrics.

    Both serve the same pages but for the explanation, which waits for the
    coordinator and would delay the load balancer's probe of readiness.
    """
    instance = relay.settings.instance

    def respond(environ: dict[str, Any], start_response: Any) -> list[bytes]:
        if environ['PATH_INFO'] == '/metrics':
            relay.metrics.show_memory(relay.memory)
            return _reply(start_response, '200 OK', relay.metrics.page())
        if environ['PATH_INFO'] == '/status':
            return _reply(start_response, '200 OK', status())
        if is_ready():
            return _reply(start_response, '200 OK', b'ready\n')
        return _reply(start_response, '503 Service Unavailable', b'not ready\n')

    def respond_to_operator(
        environ: dict[str, Any], start_response: Any
    ) -> list[bytes]:
        if environ['PATH_INFO'] == '/explain':
            query = environ.get('QUERY_STRING', '')
            return _reply(start_response, '200 OK', explain(query))
        return respond(environ, start_response)

    ready = split_address(instance.ready_address)
    metrics = (instance.host, instance.metrics_port)
    return [
        start_server(respond, ready, threads=1, ident=None),
        start_server(respond_to_operator, metrics, threads=1, ident=None),
    ]


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def close_idle(server: Any) -> None:
    """Stop listening and close idle connections; others close when idle.

    This runs in the server's thread, which owns the connections. Requests whose
    bytes were not read yet, or whose connections were not accepted yet, are
    answered first. A busy connection may be finishing a request that began
    before the relay was draining, so it is marked to close afterwards.
    """
    channels = list(server.active_channels.values())
    _accept_waiting(server)
    server.del_channel()
    server.socket.close()
    for channel in channels:
        channel.closes_when_idle = True
        if is_idle(channel):
            channel.handle_close()


def _is_busy(channel: Any) -> bool:
    """Return whether a connection has a request or unsent bytes."""
    has_request = bool(channel.requests) or channel.request is not None
    return has_request or channel.total_outbufs_len > 0


def is_idle(channel: Any) -> bool:
    """Return whether a connection has no request, not even an unread one."""
    return not _is_busy(channel) and not _has_bytes(channel.socket)


def _accept_waiting(server: Any) -> None:
    """Accept the connections that are queued in the kernel."""
    for _ in range(BACKLOG):
        accepted = len(server.active_channels)
        server.handle_accept()
        if len(server.active_channels) == accepted:
            return


def _has_bytes(sock: socket.socket) -> bool:
    """Return whether a connection has unread bytes."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def _reply(start_response: Any, status: str, body: bytes) -> list[bytes]:
    start_response(status, [('Content-Length', str(len(body)))])
    return [body]
