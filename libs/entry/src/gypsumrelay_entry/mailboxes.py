"""Delivery of messages from links to the threads of open requests."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from typing import Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_errors import Failure, UpstreamFailed
from gypsumrelay_wire import Link, Message

# Interval at which a waiting request checks whether its caller has disconnected
# or its key was withdrawn.
CHECK_INTERVAL_SECONDS: Final = 0.2

AbortCheck = Callable[[], Failure | None]


@attrs.frozen
class Delivery:
    """A message with the link on which it arrived."""

    link: Link
    message: Message


@attrs.frozen
class LinkLost:
    """Notice that a link, which the request may use, was closed."""

    link: Link


@attrs.define(eq=False)
class Mailbox:
    """Queue of messages for one open request.

    Attributes:
        request_id: Id of the request.
        abort_check: Returns a failure if the request must end early, else None.
        inbox: Deliveries and closed links in the order of arrival.
    """

    request_id: str
    abort_check: AbortCheck
    inbox: queue.SimpleQueue[Any] = attrs.field(factory=queue.SimpleQueue)

    def wait(self, deadline: float) -> Delivery | LinkLost | Failure | None:
        """Wait for the next delivery or closed link.

        Args:
            deadline: Monotonic time at which the wait times out.

        Returns:
            A delivery or a closed link; a failure if the caller has
            disconnected or its key was withdrawn; None after a timeout.
        """
        while True:
            abort_failure = self.abort_check()
            if abort_failure is not None:
                return abort_failure
            remaining = deadline - monotonic()
            try:
                incoming: Delivery | LinkLost = self.inbox.get(
                    timeout=max(0, min(CHECK_INTERVAL_SECONDS, remaining)),
                )
            except queue.Empty:
                if remaining <= CHECK_INTERVAL_SECONDS:
                    return None
                continue
            return incoming

    def pause(self, until: float) -> Failure | None:
        """Wait until a monotonic time and drop all messages meanwhile.

        Returns:
            A failure if the request must end early, else None.
        """
        while True:
            incoming = self.wait(until)
            if incoming is None or isinstance(incoming, Failure):
                return incoming


@attrs.define(eq=False)
class Mailboxes:
    """Mailboxes of all open requests.

    Attributes:
        by_request_id: Mailboxes by request id.
        lock: Protects `by_request_id`.
    """

    by_request_id: dict[str, Mailbox] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def open(self, request_id: str, abort_check: AbortCheck) -> Mailbox:
        """Create and return the mailbox of a request."""
        mailbox = Mailbox(request_id, abort_check)
        with self.lock:
            self.by_request_id[request_id] = mailbox
        return mailbox

    def close(self, mailbox: Mailbox) -> None:
        """Remove a mailbox; later messages for it are dropped."""
        with self.lock:
            self.by_request_id.pop(mailbox.request_id, None)

    def deliver(self, link: Link, message: Message) -> None:
        """Put a message into the mailbox of its request, if there is one."""
        request_id = getattr(message, 'request_id', None)
        mailbox = self.by_request_id.get(request_id) if request_id else None
        if mailbox is not None:
            mailbox.inbox.put(Delivery(link, message))

    def notify_link_lost(self, link: Link) -> None:
        """Notify all open requests that a link was closed."""
        with self.lock:
            mailboxes = list(self.by_request_id.values())
        for mailbox in mailboxes:
            mailbox.inbox.put(LinkLost(link))


def progress_timeout(operation: str) -> UpstreamFailed:
    """Return the failure of an operation that timed out."""
    return UpstreamFailed(f'{operation} made no progress in time')
