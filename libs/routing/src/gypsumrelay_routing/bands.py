"""One priority class of the fair queue: start-time fair queueing."""

from __future__ import annotations

import attrs

from gypsumrelay_routing.heaps import KeyedHeap


@attrs.frozen
class Waiting:
    """A request that waits for a place at an upstream.

    Attributes:
        request_id: Unique among the waiting requests.
        client_account: The account that is charged for the request.
        weight: The account's contract weight, positive.
        cost: Work of the request in tokens or the route's cost, positive.
        deadline: Instant by which the first token must be out.
        priority: 0 (most urgent) to 9.
        run_seconds: Expected time from the grant to the first token.
    """

    request_id: str
    client_account: str
    weight: int
    cost: int
    deadline: float
    priority: int = 0
    run_seconds: float = 0

    @property
    def start_by(self) -> float:
        """Return the last instant at which a grant can meet the deadline."""
        return self.deadline - self.run_seconds


@attrs.define
class Flow:
    """One account's waiting requests in one class, by deadline."""

    start: float
    by_deadline: KeyedHeap[float] = attrs.field(factory=KeyedHeap)


@attrs.define(eq=False)
class Band:
    """The accounts that wait in one priority class.

    Each account has a start tag in virtual time. The account with the
    smallest tag is served, and its tag grows by cost / weight. An account
    without waiting requests keeps its tag until virtual time has passed
    it, so leaving and coming back gains nothing.
    """

    credit: float = 0
    virtual_time: float = 0
    flows: dict[str, Flow] = attrs.field(factory=dict)
    starts: KeyedHeap[float] = attrs.field(factory=KeyedHeap)
    idle: KeyedHeap[float] = attrs.field(factory=KeyedHeap)

    def add(self, waiting: Waiting) -> None:
        """Add a request to its account's flow."""
        account = waiting.client_account
        flow = self.flows.get(account)
        if flow is None:
            flow = Flow(self.virtual_time)
            self.flows[account] = flow
        if account not in self.starts:
            self.idle.remove(account)
            self.starts.put(account, flow.start)
        flow.by_deadline.put(waiting.request_id, waiting.deadline)

    def head(self) -> str | None:
        """Return the request id that is served next."""
        first = self.starts.first()
        if first is None:
            return None
        head = self.flows[first[1]].by_deadline.first()
        return head and head[1]

    def serve(self, waiting: Waiting) -> None:
        """Remove the head and charge its account."""
        flow = self.flows[waiting.client_account]
        self.virtual_time = flow.start
        flow.start += waiting.cost / waiting.weight
        self.starts.put(waiting.client_account, flow.start)
        self.remove(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Remove a request without charge."""
        account = waiting.client_account
        flow = self.flows[account]
        flow.by_deadline.remove(waiting.request_id)
        if not flow.by_deadline:
            self.starts.remove(account)
            self.idle.put(account, flow.start)
        self._forget_idle()

    def _forget_idle(self) -> None:
        if not self.starts:
            self._reset()
        first = self.idle.first()
        while first is not None and first[0] <= self.virtual_time:
            self.idle.remove(first[1])
            self.flows.pop(first[1])
            first = self.idle.first()

    def _reset(self) -> None:
        # Nobody waits, so nobody can be behind: virtual time starts anew,
        # which also keeps the tags small enough for exact sums.
        self.credit = 0
        self.virtual_time = 0
        self.flows.clear()
        self.idle = KeyedHeap()
