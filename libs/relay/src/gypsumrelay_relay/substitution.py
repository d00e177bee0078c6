"""Requests another placement while the upstream of an attempt is silent."""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_dispatch import Ending
from gypsumrelay_errors import Draining

from gypsumrelay_relay.attempts import log_granted
from gypsumrelay_relay.coordination.reports import report_end
from gypsumrelay_relay.placement import Placement

if TYPE_CHECKING:
    from gypsumrelay_dispatch import PlacementRequest

    from gypsumrelay_relay.exchange import Exchange
    from gypsumrelay_relay.pending_requests import PendingRequest

# Delay in seconds after which a rejected placement is requested again.
AGAIN_SECONDS: Final = 0.4
# Limit of these placement requests for one silence.
MAX_REQUESTS: Final = 4


@attrs.define(eq=False)
class Substitution:
    """Placement requests for a substitute of a silent upstream.

    The attempt at the silent upstream goes on meanwhile, since it may still
    succeed, and there may be no substitute.

    Attributes:
        exchange: The request.
        next_request: Returns the next placement request.
        request_at: Instant at which the next placement is requested.
        requests_left: Number of placements that may still be requested before
            the next progress.
        pending: The request without an answer; None if there is none.
    """

    exchange: Exchange
    next_request: Callable[[], PlacementRequest]
    request_at: float = 0
    requests_left: int = MAX_REQUESTS
    pending: PendingRequest | None = None

    def restart(self, request_at: float) -> None:
        """Withdraw the pending request, and request the next one later."""
        self.withdraw()
        self.request_at = request_at

    def renew(self, upstream: str) -> None:
        """Allow new requests, since an upstream has sent an event."""
        self.requests_left = MAX_REQUESTS
        self.exchange.excluded.discard(upstream)

    def poll(self) -> Placement | None:
        """Return a placement once one is granted; request one if it is due."""
        if self.pending is None:
            self._request_if_due()
            return None
        try:
            answer = self.pending.answers.get_nowait()
        except queue.Empty:
            return None
        if isinstance(answer, Draining):
            # The coordinator has not answered yet and may still grant it.
            self.withdraw()
        self.pending = None
        if isinstance(answer, Placement):
            log_granted(self.exchange, answer)
            return answer
        self.request_at = monotonic() + AGAIN_SECONDS
        return None

    def withdraw(self) -> None:
        """Withdraw the pending request, and free its placement if granted."""
        if self.pending is not None:
            report_end(
                self.exchange.relay.coordination,
                self.pending.request,
                Ending.cancelled,
            )
            self.pending = None

    def _request_if_due(self) -> None:
        now = monotonic()
        if now < self.request_at or not self.requests_left:
            return
        self.requests_left -= 1
        self.exchange.reset_wait(now)
        self.pending = self.exchange.relay.coordination.request_placement(
            self.next_request()
        )
