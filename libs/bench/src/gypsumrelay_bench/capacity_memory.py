"""Memory of each piece of state, by building the real state."""

from __future__ import annotations

import gc
import json
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, Final

from gypsumrelay_buckets import BucketSize
from gypsumrelay_claims import (
    ResponsePart,
    StoredResponses,
    append_part,
    begin_response,
    finish_response,
)
from gypsumrelay_configuration import (
    Record,
    Share,
    State,
    apply,
    dump_state,
)
from gypsumrelay_limits import (
    Holder,
    LogRead,
    Member,
    ReservationKey,
    TokenRequest,
    add_share,
    grant,
    renew_evidence,
)
from gypsumrelay_membership import (
    InstanceDescription,
    ListReceived,
    apply_event,
)
from gypsumrelay_membership import MembershipView as Members
from gypsumrelay_routing import (
    FairQueue,
    QueuedRequest,
    UpstreamKind,
    UpstreamReport,
    View,
    ViewSettings,
)
from gypsumrelay_settings import EvidenceSettings
from gypsumrelay_timeline import Recorder, Ring
from gypsumrelay_upstreams import Key, Ledger, LedgerSettings, ReserveRequest
from gypsumrelay_upstreams import ledger as ledgers

from gypsumrelay_bench import capacity_samples as samples
from gypsumrelay_bench.capacity_fit import Fit, fit_line

# Not powers of two: dictionaries grow by doubling, so that sizes which double
# would all be measured at the same part of a step.
SIZES: Final = (600, 1000, 1700, 2900, 4700)


def reduce_records(make: Callable[[int], Record], count: int) -> State:
    """Return the state after records as read from the log."""
    state = State()
    apply(state, 0, samples.as_read(samples.contract_record(0)))
    for number in range(1, count + 1):
        apply(state, number, samples.as_read(make(number)))
    return state


def build_holder(shares: int, draws: int) -> Holder:
    """Return a holder with shares and open draws on the first of them."""
    holder = Holder(EvidenceSettings())
    for number in range(shares):
        share = Share(samples.account_of(number), 0, 1, 'agent-1', '1')
        add_share(holder, share, BucketSize(1e9, 1e9), 0, released=True)
    renew_evidence(holder, LogRead(1), 1)
    for number in range(draws):
        grant(holder, draw_of(number), 1)
    return holder


def draw_of(number: int) -> TokenRequest:
    """Return one request's token request to the first share."""
    key = ReservationKey(f'entry-001/{number}', samples.account_of(0), 0)
    requester = Member(f'agent-{number % 60:05d}', '1')
    return TokenRequest(key, requester, 1300, 0, 10)


def report_of(number: int, prefixes: int) -> UpstreamReport:
    """Return an upstream's load report with some cached prefixes."""
    return UpstreamReport(
        f'upstream-{number:05d}',
        UpstreamKind.decode if number % 2 else UpstreamKind.prefill,
        'model-a',
        f'zone-{number % 6}',
        20,
        200,
        slots=20,
        decode_ms=25,
        prefixes=tuple(
            bytes.fromhex(samples.digest_of(one * 8192 + number)[:16])
            for one in range(prefixes)
        ),
    )


def build_view(count: int, prefixes: int = 0) -> View:
    """Return an entry's view of some upstreams."""
    view = View('zone-0', ViewSettings(max_upstreams=10_000))
    for number in range(count):
        view.apply_report(report_of(number, prefixes), 1)
    return view


def listed_of(count: int) -> tuple[InstanceDescription, ...]:
    """Return the entries of an instance list."""
    return tuple(
        InstanceDescription(
            f'agent-{number:05d}',
            samples.digest_of(number)[:16],
            f'zone-{number % 6}',
            upstream=f'upstream-{number:05d}',
        )
        for number in range(count)
    )


def build_members(count: int) -> Members:
    """Return a membership view after a list."""
    view = Members()
    apply_event(view, ListReceived(1, listed_of(count)), 1)
    return view


def build_ledger(count: int) -> Ledger:
    """Return an agent's ledger with running reservations."""
    ledger = Ledger(LedgerSettings(count, count * 8), 'agent-1', limit=count)
    ledger.engine = 'engine-1'
    ledgers.open_link(ledger, 'link-1', 0)
    for number in range(count):
        request = ReserveRequest(
            Key(f'entry-001/{number}', 1),
            samples.account_of(number),
            100,
            prompt_tokens=1000,
            max_tokens=300,
        )
        ledgers.reserve(ledger, request, 'link-1', 0)
    if len(ledger.places) != count:
        raise RuntimeError('the ledger granted fewer places than asked for')
    return ledger


def build_claims(count: int) -> Any:
    """Return a committer that has read claims from the log."""
    committer = samples.new_committer()
    for first in range(0, count, 8):
        record = samples.as_read(samples.claim_batch(first, 8))
        samples.read_log(committer, (record,))
    return committer


def build_responses(count: int) -> StoredResponses:
    """Return stored responses of 300 tokens in batches of 10."""
    store = StoredResponses(1_000_000_000)
    for number in range(count):
        key = (samples.account_of(number), samples.digest_of(number))
        name = f'entry-001/{number}'
        begin_response(store, key, name, 100)
        for first in range(0, 300, 10):
            content = f'{number:08d}{first:042d}'
            append_part(store, key, name, ResponsePart(first, 10, content))
        finish_response(store, key, name, 'stop', 100)
    return store


def build_queue(count: int) -> FairQueue:
    """Return a fair queue with waiting requests of many accounts."""
    queue = FairQueue()
    for number in range(count):
        account = samples.account_of(number)
        waiting = QueuedRequest(f'entry-001/{number}', account, 1, 1300, 1e6)
        queue.push(waiting, 0)
    return queue


def build_ring(count: int) -> Ring:
    """Return an event ring."""
    ring = Ring(count)
    recorder = Recorder('entry-001', ring, lambda: 1_700_000_000_000)
    for number in range(count):
        recorder.record(
            'entry',
            'placed',
            request_id=f'entry-001/{number}',
            client_account=samples.account_of(number),
            upstream=f'upstream-{number:05d}',
            detail={'prefill': f'upstream-{number + 1:05d}'},
        )
    return ring


def _account(count: int) -> State:
    return reduce_records(samples.contract_record, count)


def _keys(count: int) -> State:
    return reduce_records(samples.key_record, count)


def _shares(count: int) -> State:
    return reduce_records(samples.share_record, count)


def _fences(count: int) -> State:
    return reduce_records(samples.fence_record, count)


BUILDERS: dict[str, tuple[Callable[[int], Any], Sequence[int]]] = {
    'account (contract)': (_account, SIZES),
    'key': (_keys, SIZES),
    'share in the state': (_shares, SIZES),
    'fence in the state': (_fences, SIZES),
    'held share': (lambda count: build_holder(count, 0), SIZES),
    'open draw': (lambda count: build_holder(1, count), SIZES),
    'upstream in view': (build_view, SIZES),
    'prefix of an upstream': (
        lambda size: build_view(64, size),
        (50, 90, 160, 280),
    ),
    'instance in list': (build_members, SIZES),
    'reservation': (build_ledger, SIZES),
    'claim': (build_claims, SIZES),
    'stored response (300 tokens)': (build_responses, (250, 400, 700, 1200)),
    'fair-queue entry': (build_queue, SIZES),
    'ring event': (build_ring, SIZES),
}


def memory_of(build: Callable[[int], Any], size: int) -> int:
    """Return the bytes that the built state keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build(size)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return after - before


def memory_slopes() -> dict[str, Fit]:
    """Return the bytes of memory for each piece of state."""
    fits = {}
    for name, (build, sizes) in BUILDERS.items():
        build(sizes[0])
        measured = [memory_of(build, size) for size in sizes]
        fits[name] = fit_line(sizes, measured)
    # The builder makes 64 upstreams with `size` prefixes each.
    whole = fits['prefix of an upstream']
    fits['prefix of an upstream'] = Fit(
        whole.slope / 64,
        whole.intercept / 64,
        whole.residual,
    )
    return fits


def snapshot_slopes() -> dict[str, Fit]:
    """Return the bytes of a snapshot for each part, as JSON."""
    parts = {
        'account': _account,
        'key': _keys,
        'share': _shares,
        'fence': _fences,
    }
    fits = {}
    for name, build in parts.items():
        measured = [len(json.dumps(dump_state(build(size)))) for size in SIZES]
        fits[f'snapshot per {name}'] = fit_line(SIZES, measured)
    return fits
