"""Start-time fair queueing within one priority class."""

from __future__ import annotations

import attrs

from gypsumrelay_routing.heaps import KeyedHeap


@attrs.frozen
class QueuedRequest:
    """A request that waits for a slot of an upstream.

    Attributes:
        request_id: Identifier, unique among the waiting requests.
        client_account: The client account that is charged.
        weight: Weight of the account from its contract, positive.
        cost: Cost of the request in tokens or as set by its route, positive.
        deadline: Time by which the first token must be sent.
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
        """Return the latest time at which a grant can meet the deadline."""
        return self.deadline - self.run_seconds


@attrs.define
class Flow:
    """The waiting requests of one account in one priority class.

    Attributes:
        start_tag: Start tag of the account in virtual time.
        by_deadline: Heap of the request ids by deadline.
    """

    start_tag: float
    by_deadline: KeyedHeap[float] = attrs.field(factory=KeyedHeap)


@attrs.define(eq=False)
class PriorityClass:
    """Fair queue of one priority class, with one flow per client account.

    Each account has a start tag in virtual time. The account with the
    smallest tag is served, and its tag grows by cost / weight. An account
    without waiting requests retains its tag until virtual time has passed
    it, so that it gains nothing by emptying its queue and returning.

    Attributes:
        credit: Cost that the class may be served ahead of more urgent ones.
        virtual_time: Start tag of the request that was served last.
        flows: Flows by client account.
        active: Heap of the accounts with waiting requests, by start tag.
        idle: Heap of the other accounts with a start tag, by start tag.
    """

    credit: float = 0
    virtual_time: float = 0
    flows: dict[str, Flow] = attrs.field(factory=dict)
    active: KeyedHeap[float] = attrs.field(factory=KeyedHeap)
    idle: KeyedHeap[float] = attrs.field(factory=KeyedHeap)

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request to its account's flow."""
        account = waiting.client_account
        flow = self.flows.get(account)
        if flow is None:
            flow = Flow(self.virtual_time)
            self.flows[account] = flow
        if account not in self.active:
            self.idle.remove(account)
            self.active.put(account, flow.start_tag)
        flow.by_deadline.put(waiting.request_id, waiting.deadline)

    def head(self) -> str | None:
        """Return the id of the request that is served next."""
        first = self.active.first()
        if first is None:
            return None
        head = self.flows[first[1]].by_deadline.first()
        return head and head[1]

    def serve(self, waiting: QueuedRequest) -> None:
        """Remove the head of the queue and charge its account."""
        flow = self.flows[waiting.client_account]
        self.virtual_time = flow.start_tag
        flow.start_tag += waiting.cost / waiting.weight
        self.active.put(waiting.client_account, flow.start_tag)
        self.remove(waiting)

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request without charging its account."""
        account = waiting.client_account
        flow = self.flows[account]
        flow.by_deadline.remove(waiting.request_id)
        if not flow.by_deadline:
            self.active.remove(account)
            self.idle.put(account, flow.start_tag)
        self._remove_idle_flows()

    def _remove_idle_flows(self) -> None:
        if not self.active:
            self._reset()
        first = self.idle.first()
        while first is not None and first[0] <= self.virtual_time:
            self.idle.remove(first[1])
            self.flows.pop(first[1])
            first = self.idle.first()

    def _reset(self) -> None:
        # Without waiting requests no account is owed service, so virtual
        # time can restart at 0. This also keeps the tags small enough for
        # exact floating-point sums.
        self.credit = 0
        self.virtual_time = 0
        self.flows.clear()
        self.idle = KeyedHeap()
