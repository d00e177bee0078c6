"""Model of a fleet with one client account and faults, with its oracle."""

from __future__ import annotations

import bisect
from collections import Counter
from typing import Any

import attrs
from gypsumrelay_configuration import (
    Accepted,
    Contract,
    ContractPut,
    ShareAssigned,
    ShareReleased,
    State,
    apply,
)
from gypsumrelay_errors import RateExceeded
from gypsumrelay_limits import (
    Admitted,
    Agent,
    Granted,
    Holder,
    ListRead,
    LogRead,
    Member,
    Placement,
    Refused,
    Rejected,
    Requester,
    ReservationKey,
    ReservationSpec,
    SendTokenRequest,
    TokenRequest,
    add_share,
    apply_account,
    apply_list,
    apply_share,
    close_charges,
    confirm_list,
    delete_expired_charges,
    drop_share,
    grant,
    on_link_lost,
    on_reply,
    propose,
    renew_evidence,
    resize,
    settle,
    settle_reservation,
    share_size,
    start_reservation,
    stop_granting,
    tick,
)
from gypsumrelay_settings import EvidenceSettings

ACCOUNT = 'ikeja-post'
SHARES = 2
EVIDENCE = EvidenceSettings(
    share_evidence_seconds=5,
    list_lag_seconds=3,
)
ZONES = ('ikeja', 'lekki', 'yaba')
# Holder, number and epoch of a share. The number is needed because one
# holder may have both shares in the same epoch.
Assignment = tuple[Member, int, int]
Levels = dict[int, tuple[Assignment, float]]
# Tokens. Exceeds the sum of all rounding errors, and is less than one token.
TOLERANCE = 0.01


@attrs.define
class Charge:
    """A grant, as recorded by the oracle."""

    at: float
    tokens: int
    request: str
    share: int
    assignment: Assignment
    refunded: float = 0


@attrs.define
class Request:
    """A request, as recorded by the oracle."""

    agent: Member
    spec: ReservationSpec
    started_at: float
    levels_at_start: Levels
    admitted: bool = False
    ended: bool = False
    used_tokens: int | None = None
    failure: Any = None


class Process:
    """One agent, with the state of its libraries and of its reads."""

    def __init__(self, member: Member, zone: str) -> None:
        """Start an agent that has not read the log or the list yet."""
        self.agent = Agent(member, zone)
        self.member = member
        self.holder = Holder(EVIDENCE)
        self.requester = Requester(member)
        self.placement = Placement(member, EVIDENCE)
        self.state = State()
        self.list_version = -1
        self.listed: set[Member] = set()
        self.paused = False
        self.log_partitioned = False
        self.list_partitioned = False


class Fleet:
    """Processes, platform, network and records of the oracle."""

    def __init__(self, rate: int = 10, burst: int = 40) -> None:
        """Start four agents in three zones."""
        self.now = 100.0
        self.log: list[tuple[float, Any]] = []
        self.lists: list[tuple[float, tuple[Agent, ...]]] = []
        self.platform = State()
        self.network: list[tuple[Member, Member, Any]] = []
        self.processes: dict[Member, Process] = {}
        self.requests: dict[str, Request] = {}
        self.charges: dict[tuple[str, Assignment], Charge] = {}
        self.applied_terms: list[tuple[float, float, float]] = []
        self.started = 0
        self.log_is_down = False
        self.full_load = False
        self.counts: Counter[str] = Counter()
        self.put_contract(rate, burst)
        for index in range(4):
            self.add_process(ZONES[index % len(ZONES)])

    # Platform

    def append(self, record: Any) -> bool:
        """Append a record; return whether the reducer accepts it."""
        if self.log_is_down:
            return False
        self.log.append((self.now, record))
        result = apply(self.platform, len(self.log) - 1, record)
        return isinstance(result, Accepted)

    def put_contract(self, rate: int, burst: int) -> None:
        """Change the contract."""
        version = self.platform.contract_versions.get(ACCOUNT, 0)
        contract = Contract(ACCOUNT, rate, burst)
        self.append(ContractPut('c', version, contract))

    def add_process(self, zone: str) -> Process:
        """Start an agent and add it to the list."""
        self.started += 1
        member = Member(f'{zone}-{self.started}', '1')
        process = Process(member, zone)
        self.processes[member] = process
        self.set_list((*self.newest_list(), process.agent))
        return process

    def newest_list(self) -> tuple[Agent, ...]:
        """Return the newest version of the list."""
        return self.lists[-1][1] if self.lists else ()

    def set_list(self, agents: tuple[Agent, ...]) -> None:
        """Publish a version of the list."""
        self.lists.append((self.now, agents))

    def remove_from_list(self, process: Process) -> None:
        """Remove an agent from the list, whether it still runs or not."""
        rest = [one for one in self.newest_list() if one != process.agent]
        self.set_list(tuple(rest))

    def crash(self, process: Process) -> None:
        """Crash a process, which loses its state."""
        self.processes.pop(process.member)
        self.remove_from_list(process)

    # Reads

    def read_log(self, process: Process, delay: float = 0) -> None:
        """Complete a read of the log that started `delay` seconds ago."""
        started_at = self.now - delay
        known = process.state.offset
        times = [at for at, _ in self.log]
        end = bisect.bisect_right(times, started_at)
        for offset in range(known + 1, end):
            self.apply_record(process, offset, self.log[offset][1])
        renew_evidence(process.holder, LogRead(started_at), self.now)
        self.record_terms()

    def apply_record(self, process: Process, offset: int, record: Any) -> None:
        """Apply a record as the agent program does."""
        before = dict(process.state.shares)
        if not isinstance(apply(process.state, offset, record), Accepted):
            return
        contract = process.state.contracts[ACCOUNT]
        if isinstance(record, ContractPut):
            resize(process.holder, contract, SHARES, self.now)
            apply_account(process.placement, ACCOUNT, SHARES, self.now)
            return
        name = f'{ACCOUNT}/{record.number}'
        share = process.state.shares[name]
        earlier = before.get(name)
        apply_share(process.placement, share, self.now)
        if Member(share.holder, share.incarnation) == process.member:
            add_share(
                process.holder,
                share,
                share_size(contract, SHARES, share.number),
                self.now,
                released=earlier is None or not earlier.holder,
            )
        else:
            drop_share(process.holder, share)

    def read_list(
        self,
        process: Process,
        lag: float = 0,
        delay: float = 0,
    ) -> None:
        """Complete a read of the list that started `delay` seconds ago.

        The list that it returns is `lag` seconds older.
        """
        started_at = self.now - delay
        seen_at = started_at - min(lag, EVIDENCE.list_lag_seconds)
        times = [at for at, _ in self.lists]
        version = max(0, bisect.bisect_right(times, seen_at) - 1)
        if version > process.list_version:
            process.list_version = version
            agents = self.lists[version][1]
            members = {agent.member for agent in agents}
            for member in process.listed - members:
                close_charges(process.holder, member)
            process.listed = members
            apply_list(process.placement, agents, started_at, self.now)
        elif version == process.list_version:
            confirm_list(process.placement, started_at, self.now)
        else:
            return
        live = process.member in process.listed
        renew_evidence(process.holder, ListRead(started_at, live), self.now)

    def record_terms(self) -> None:
        """Record the highest rate and burst that any holder applies."""
        applied = [
            process.state.contracts[ACCOUNT]
            for process in self.processes.values()
            if process.holder.shares
        ] or [self.platform.contracts[ACCOUNT]]
        rate = max(contract.tokens_per_second for contract in applied)
        burst = max(contract.burst_tokens for contract in applied)
        last = self.applied_terms[-1][1:] if self.applied_terms else None
        if last != (rate, burst):
            self.applied_terms.append((self.now, rate, burst))

    # Work

    def request(
        self,
        process: Process,
        tokens: int,
        seconds: float = 1,
        name: str = '',
    ) -> str:
        """Start a reservation.

        A name of an earlier request makes it a retry at another agent.
        """
        draw_id = name or f'r{len(self.requests)}'
        holders: list[Member | None] = [None for _ in range(SHARES)]
        for share in process.state.shares.values():
            if share.holder:
                member = Member(share.holder, share.incarnation)
                holders[share.number] = member
        contract = process.state.contracts.get(ACCOUNT)
        if contract is None:
            return draw_id
        spec = ReservationSpec(
            draw_id,
            contract,
            tuple(holders),
            tokens,
            self.now + seconds,
            retry=bool(name),
        )
        self.requests[draw_id] = Request(
            process.member,
            spec,
            self.now,
            self.levels_of(spec.holders),
        )
        self.execute(
            process, start_reservation(process.requester, spec, self.now)
        )
        return draw_id

    def levels_of(self, holders: tuple[Member | None, ...]) -> Levels:
        """Return the tokens that are available at each reachable share."""
        found = {}
        for number, member in enumerate(holders):
            process = self.processes.get(member) if member else None
            if member is None or process is None or process.paused:
                continue
            share = process.holder.shares.get((ACCOUNT, number))
            if share is None or process.holder.draining:
                continue
            level = self.level(process, number)
            assignment = (member, number, share.epoch)
            partial_charge = self.charges.get((share.collecting_id, assignment))
            # Includes partial grants, which may still be refunded.
            if partial_charge and self.now < share.collecting_until:
                level += partial_charge.tokens
            found[number] = (assignment, level)
        return found

    def end(self, draw_id: str, used: int) -> None:
        """End a request that used up to `used` of its tokens."""
        request = self.requests[draw_id]
        process = self.processes.get(request.agent)
        if process is None or request.ended:
            return
        request.ended = True
        if request.admitted:
            request.used_tokens = min(used, request.spec.tokens)
        used_tokens = request.used_tokens or 0
        self.execute(
            process,
            settle_reservation(
                process.requester, draw_id, used_tokens, self.now
            ),
        )

    def execute(self, process: Process, actions: list[Any]) -> None:
        """Execute the actions of a requester."""
        for action in actions:
            if isinstance(action, Admitted):
                request = self.requests[action.draw_id]
                request.admitted = True
                self.counts['admitted'] += 1
                self.check_charged(action.draw_id)
            elif isinstance(action, Rejected):
                self.requests[action.draw_id].ended = True
                self.requests[action.draw_id].failure = action.failure
                self.counts[type(action.failure).__name__] += 1
                self.check_rejected(action)
            elif isinstance(action, SendTokenRequest):
                self.send(process.member, action.holder, action.request)
            else:
                self.send(process.member, action.holder, action.settlement)

    def send(self, sender: Member, receiver: Member, message: Any) -> None:
        """Put a message on the network."""
        self.network.append((sender, receiver, message))

    def deliver(self, index: int = 0, *, keep: bool = False) -> None:
        """Deliver one message; `keep` leaves a duplicate on the network."""
        sender, receiver, message = self.network[index]
        if not keep:
            self.network.pop(index)
        process = self.processes.get(receiver)
        if process is None:
            return
        self.counts['messages'] += 1
        if process.paused:
            self.network.append((sender, receiver, message))
        elif isinstance(message, (Granted, Refused)):
            reply = on_reply(process.requester, message, self.now)
            self.execute(process, reply)
        elif isinstance(message, TokenRequest):
            answer = self.grant(process, message)
            self.send(receiver, sender, answer)
        else:
            self.settle(process, message)

    def deliver_all(self) -> None:
        """Deliver in order until no message can be delivered."""
        for _ in range(400):
            movable = [
                index
                for index, (_, receiver, _) in enumerate(self.network)
                if receiver not in self.processes
                or not self.processes[receiver].paused
            ]
            if not movable:
                return
            self.deliver(movable[0])
        raise AssertionError('400 deliveries did not empty the network')

    def grant(
        self, process: Process, message: TokenRequest
    ) -> Granted | Refused:
        """Let a holder answer a token request, and record a new charge."""
        answer = grant(process.holder, message, self.now)
        share = process.holder.shares.get((ACCOUNT, message.key.share))
        if not isinstance(answer, Granted) or share is None:
            return answer
        assignment = (process.member, message.key.share, share.epoch)
        known = self.charges.get((message.key.draw_id, assignment))
        if known is None:
            self.charges[message.key.draw_id, assignment] = Charge(
                self.now,
                answer.tokens,
                message.key.draw_id.partition('~')[0],
                message.key.share,
                assignment,
            )
        else:
            assert known.tokens == answer.tokens, 'repeated grant differs'
        self.check_share(process)
        return answer

    def settle(self, process: Process, message: Any) -> None:
        """Let a holder settle a reservation, and record the refund."""
        share = process.holder.shares.get((ACCOUNT, message.key.share))
        before = self.level(process, message.key.share)
        settle(process.holder, message, self.now)
        refund = self.level(process, message.key.share) - before
        if share is None or refund <= 0:
            return
        assignment = (process.member, message.key.share, share.epoch)
        known = self.charges[message.key.draw_id, assignment]
        known.refunded += refund
        assert known.refunded <= known.tokens + TOLERANCE, 'refund too high'
        self.check_charged(known.request)

    def level(self, process: Process, number: int) -> float:
        """Return a share's current level in tokens."""
        share = process.holder.shares.get((ACCOUNT, number))
        if share is None:
            return 0
        elapsed = max(0, self.now - share.bucket.refilled_at)
        grown = share.bucket.level + elapsed * share.bucket.size.rate
        return min(grown, share.bucket.size.burst)

    def step(self, seconds: float) -> None:
        """Advance the time and run one tick of every running process."""
        self.now += seconds
        for process in list(self.processes.values()):
            if process.paused:
                continue
            if not (process.log_partitioned or self.log_is_down):
                self.read_log(process)
            if not process.list_partitioned:
                self.read_list(process)
            self.propose(process)
            self.execute(process, tick(process.requester, self.now))
            delete_expired_charges(process.holder, self.now)
        if self.full_load:
            self.take_all()

    def take_all(self) -> None:
        """Take all tokens that any holder grants.

        Requests go to every process that acts as a holder, as from agents
        with an outdated view of the shares.
        """
        for process in self.processes.values():
            for number in range(SHARES):
                tokens = int(self.level(process, number) + TOLERANCE)
                if process.paused or not tokens:
                    continue
                draw_id = f'p{len(self.requests)}'
                until = self.now + 1
                contract = self.platform.contracts[ACCOUNT]
                spec = ReservationSpec(draw_id, contract, (), tokens, until)
                requester = process.member
                request = Request(requester, spec, self.now, {})
                self.requests[draw_id] = request
                key = ReservationKey(draw_id, ACCOUNT, number)
                message = TokenRequest(key, requester, tokens, tokens, until)
                answer = self.grant(process, message)
                request.admitted = isinstance(answer, Granted)
                self.counts['taken'] += request.admitted

    def propose(self, process: Process) -> None:
        """Append the proposals of an agent to the log."""
        for proposal in propose(process.placement, self.now):
            member = process.member
            record = ShareAssigned(
                'p',
                proposal.client_account,
                proposal.number,
                proposal.epoch,
                member.name,
                member.incarnation,
            )
            self.counts['assigned'] += self.append(record)

    def release(self, process: Process) -> None:
        """Shut a holder down gracefully."""
        stop_granting(process.holder)
        for (_, number), share in process.holder.shares.items():
            self.append(ShareReleased('r', ACCOUNT, number, share.epoch))

    def lose_link(self, one: Process, other: Member) -> None:
        """Lose all messages between two agents."""
        pair = {one.member, other}
        self.network = [
            entry for entry in self.network if {entry[0], entry[1]} != pair
        ]
        self.execute(one, on_link_lost(one.requester, other, self.now))

    # Oracle

    def used_tokens(self, draw_id: str) -> int:
        """Return the tokens that a request may have used."""
        request = self.requests[draw_id]
        if not request.admitted:
            return 0
        return (
            request.spec.tokens
            if request.used_tokens is None
            else request.used_tokens
        )

    def check_charged(self, draw_id: str) -> None:
        """Check that a request's tokens are charged and not refunded."""
        net = sum(
            charge.tokens - charge.refunded
            for charge in self.charges.values()
            if charge.request == draw_id
        )
        used_tokens = self.used_tokens(draw_id)
        assert net >= used_tokens - TOLERANCE, (
            f'{draw_id}: {used_tokens} used, {net} charged'
        )

    def check_share(self, process: Process) -> None:
        """Check that level and refundable tokens never exceed the burst."""
        for share in process.holder.shares.values():
            bucket = share.bucket
            total = bucket.level + sum(bucket.refundable.values())
            assert total <= bucket.size.burst + TOLERANCE, total

    def check_bound(self) -> None:
        """Check rate and burst over every interval between grants.

        The tokens of a request count at the times of its grants. `excess`
        is the highest overshoot of all intervals that end at a grant.
        """
        excess = -float('inf')
        refilled = float(0)
        for at, tokens in sorted(self.spent()):
            refill, burst = self.terms_at(at)
            excess = max(excess - (refill - refilled), -burst) + tokens
            refilled = refill
            assert excess <= TOLERANCE, f'{excess} tokens too many at time {at}'

    def spent(self) -> list[tuple[float, float]]:
        """Return the times of all grants with the tokens used from each."""
        found: list[tuple[float, float]] = []
        left = {draw_id: self.used_tokens(draw_id) for draw_id in self.requests}
        for charge in self.charges.values():
            part = min(left[charge.request], charge.tokens - charge.refunded)
            found.append((charge.at, part))
            left[charge.request] -= part
        return found

    def terms_at(self, instant: float) -> tuple[float, float]:
        """Return the refill since the start, and the burst at a time."""
        refill = float(0)
        burst = float(0)
        after = [*self.applied_terms[1:], (float('inf'), 0, 0)]
        for (at, rate, burst_limit), (until, _, _) in zip(
            self.applied_terms,
            after,
            strict=True,
        ):
            if at <= instant:
                refill += rate * (min(until, instant) - at)
                burst = max(burst if at == instant else 0, burst_limit)
        return refill, burst

    def check_rejected(self, action: Rejected) -> None:
        """Check that a central counter would reject a request as well.

        The counter knows the shares that the request could reach. It decides
        when the reservation starts, and leaves the tokens that other
        requests took after that.
        """
        request = self.requests[action.draw_id]
        if not isinstance(action.failure, RateExceeded):
            return
        requester = self.processes[request.agent].requester
        reservation = requester.reservations[
            requester.newest_ids[action.draw_id]
        ]
        counted = {
            share: found
            for share, found in request.levels_at_start.items()
            if share not in reservation.unusable
        }
        assignments = {assignment for assignment, _ in counted.values()}
        taken = sum(
            charge.tokens
            for charge in self.charges.values()
            if charge.assignment in assignments
            and charge.request != action.draw_id
            and charge.at >= request.started_at
            and self.is_complete(charge.request)
        )
        available = sum(level for _, level in counted.values())
        # Shares grant whole tokens, so each may have a fraction left.
        wanted = request.spec.tokens + len(counted)
        self.counts['checked rejections'] += 1
        assert available - taken < wanted, (
            f'{request.spec.tokens} rejected, {available} - {taken} available'
        )

    def is_complete(self, draw_id: str) -> bool:
        """Return whether the whole amount of a request was charged."""
        charged = sum(
            charge.tokens
            for charge in self.charges.values()
            if charge.request == draw_id
        )
        return charged >= self.requests[draw_id].spec.tokens
