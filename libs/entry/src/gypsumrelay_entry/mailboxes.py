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
CHECK_SECONDS: Final = 0.2

Check = Callable[[], Failure | None]


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
        check: Returns a failure if the request must end early, else None.
        inbox: Deliveries and lost links in the order of arrival.
    """

    request_id: str
    check: Check
    inbox: queue.SimpleQueue[Any] = attrs.field(factory=queue.SimpleQueue)

    def wait(self, deadline: float) -> Delivery | LinkLost | Failure | None:
        """Wait for the next delivery or lost link.

        Args:
            deadline: Monotonic time at which the wait times out.

        Returns:
            A delivery or a lost link; a failure if the caller has
            disconnected or its key was withdrawn; None after a timeout.
        """
        while True:
            refused = self.check()
            if refused is not None:
                return refused
            left = deadline - monotonic()
            try:
                arrived: Delivery | LinkLost = self.inbox.get(
                    timeout=max(0, min(CHECK_SECONDS, left)),
                )
            except queue.Empty:
                if left <= CHECK_SECONDS:
                    return None
                continue
            return arrived

    def pause(self, until: float) -> Failure | None:
        """Wait until a monotonic time and drop all messages meanwhile.

        Returns:
            A failure if the request must end early, else None.
        """
        while True:
            arrived = self.wait(until)
            if arrived is None or isinstance(arrived, Failure):
                return arrived


@attrs.define(eq=False)
class Mailboxes:
    """Mailboxes of all open requests.

    Attributes:
        boxes: Mailboxes by request id.
        lock: Protects `boxes`.
    """

    boxes: dict[str, Mailbox] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def open(self, request_id: str, check: Check) -> Mailbox:
        """Create and return the mailbox of a request."""
        box = Mailbox(request_id, check)
        with self.lock:
            self.boxes[request_id] = box
        return box

    def close(self, box: Mailbox) -> None:
        """Remove a mailbox; later messages for it are dropped."""
        with self.lock:
            self.boxes.pop(box.request_id, None)

    def deliver(self, link: Link, message: Message) -> None:
        """Put a message into the mailbox of its request, if there is one."""
        request_id = getattr(message, 'request_id', None)
        box = self.boxes.get(request_id) if request_id else None
        if box is not None:
            box.inbox.put(Delivery(link, message))

    def lose(self, link: Link) -> None:
        """Notify all open requests that a link was closed."""
        with self.lock:
            boxes = list(self.boxes.values())
        for box in boxes:
            box.inbox.put(LinkLost(link))


def no_progress(what: str) -> UpstreamFailed:
    """Return the failure of an operation that timed out."""
    return UpstreamFailed(f'{what} made no progress in time')
