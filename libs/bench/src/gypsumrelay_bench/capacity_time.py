"""Processor time of each operation, by running the real code."""

from __future__ import annotations

import gc
import io
import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, Final, cast

import urllib3
from gypsumrelay_claims import (
    Append,
    AppendResult,
    Claim,
    Committer,
    flush,
    on_append_result,
    submit,
)
from gypsumrelay_configuration import (
    State,
    apply,
    record_from_json,
    record_to_json,
)
from gypsumrelay_errors import Failure
from gypsumrelay_http import ReadLimits
from gypsumrelay_limits import Settlement, grant, settle
from gypsumrelay_membership import ListReceived, apply_event
from gypsumrelay_platform import ListClient, Listing
from gypsumrelay_routing import (
    Member,
    PlacementRequest,
    PlacementSettings,
    View,
    choose_subset,
    commit_placement,
    place_request,
)
from gypsumrelay_wire import (
    FrameReader,
    FrameWriter,
    Message,
    decode,
    encode,
    new_unpacker,
)

from gypsumrelay_bench import capacity_memory as states
from gypsumrelay_bench import capacity_samples as samples
from gypsumrelay_bench import capacity_wire
from gypsumrelay_bench.capacity_fit import Fit, fit_line

REPEATS: Final = 9
KEY: Final = b'k' * 32
COUNTS: Final = (500, 1000, 2000, 4000)
SEED: Final = 11

Operation = Callable[[], object]


def times_of(
    prepare: Callable[[int], Operation],
    sizes: Sequence[int],
) -> list[float]:
    """Return the least processor time at each size over some repeats.

    Other processes only ever add time, through caches and clock rates, so
    the least is the least disturbed. Each repeat goes through all sizes, so
    that a disturbance of seconds does not fall on one size alone.
    """
    rounds = [
        [_time_once(prepare(size)) for size in sizes] for _ in range(REPEATS)
    ]
    return [min(column) for column in zip(*rounds, strict=True)]


def _time_once(operation: Operation) -> float:
    gc.collect()
    gc.disable()
    begun = time.process_time()
    operation()
    elapsed = time.process_time() - begun
    gc.enable()
    return elapsed


def carry(message: Message, count: int) -> Operation:
    """Return an operation that frames and reads a message many times."""
    writer = FrameWriter(KEY)
    reader = FrameReader(KEY, new_unpacker(1_000_000))

    def run() -> None:
        for _ in range(count):
            payloads = reader.feed(writer.frame(encode(message)))
            if not isinstance(payloads, list):
                raise RuntimeError('a frame was refused')
            decode(payloads[0])

    return run


def place_many(view: View, count: int, seed: int) -> Operation:
    """Return an operation that places requests and releases them."""
    rng = random.Random(seed)  # noqa: S311 - repeatable, not secret
    settings = PlacementSettings()
    for number, upstream in enumerate(view.upstreams.values()):
        upstream.reported_at = 1
        upstream.report = states.report_of(number, 0)

    def run() -> None:
        for number in range(count):
            wanted = PlacementRequest(
                f'entry-001/{number}',
                'model-a',
                deadline=100,
                prompt_tokens=1000,
                max_tokens=300,
            )
            placement = place_request(view, wanted, rng, settings, 1)
            if isinstance(placement, Failure):
                raise RuntimeError(placement.sentence)
            commit_placement(view, placement, wanted, 1)
            view.release(wanted.request_id, placement.upstreams)

    return run


def draw_many(count: int) -> Operation:
    """Return an operation that grants and settles draws."""
    holder = states.build_holder(60, 0)
    holder.shares[samples.account_of(0), 0].bucket.level = 1e9
    draws = [states.draw_of(number) for number in range(count)]

    def run() -> None:
        for draw in draws:
            grant(holder, draw, 1)
            settle(holder, Settlement(draw.key, draw.requester, 900), 1)

    return run


def claim_many(count: int) -> Operation:
    """Return an operation that claims keys in records of eight."""
    committer = samples.new_committer()
    claims = [
        Claim(
            samples.account_of(number),
            samples.digest_of(number),
            samples.digest_of(-number),
            f'entry-001/{number}',
            'agent-00001',
            durable=True,
            deadline=100,
        )
        for number in range(count)
    ]

    def run() -> None:
        for first in range(0, count, 8):
            _commit_group(committer, claims[first : first + 8])

    return run


def _commit_group(committer: Committer, claims: Sequence[Claim]) -> None:
    for claim in claims:
        submit(committer, claim, 1)
    appends = [
        action for action in flush(committer, 2) if isinstance(action, Append)
    ]
    answers = []
    for append in appends:
        answers += samples.read_log(committer, append.records)
        on_append_result(
            committer,
            append.append_id,
            AppendResult.recorded,
            2,
        )
    if len(answers) < len(claims):
        raise RuntimeError('a claim got no answer')


def apply_many(count: int) -> Operation:
    """Return an operation that reads and applies contract records."""
    raw = [
        json.dumps(record_to_json(samples.contract_record(number)))
        for number in range(count)
    ]
    state = State()

    def run() -> None:
        for offset, text in enumerate(raw):
            record = record_from_json(json.loads(text))
            apply(state, offset, cast('Any', record))

    return run


def follow_claims(count: int) -> Operation:
    """Return an operation that reads another committer's claims."""
    committer = samples.new_committer()
    raw = [
        json.dumps(record_to_json(samples.claim_batch(first, 8)))
        for first in range(0, count, 8)
    ]

    def run() -> None:
        for text in raw:
            record = record_from_json(json.loads(text))
            samples.read_log(committer, (cast('Any', record),))

    return run


def skip_claims(count: int) -> Operation:
    """Return an operation that reads claims where they change nothing."""
    raw = [
        json.dumps(record_to_json(samples.claim_batch(first, 8)))
        for first in range(0, count, 8)
    ]
    state = State()

    def run() -> None:
        for offset, text in enumerate(raw):
            record = record_from_json(json.loads(text))
            apply(state, offset, cast('Any', record))

    return run


def listing_json(count: int) -> bytes:
    """Return the platform's list in its protocol."""
    return json.dumps(
        {
            'version': 7,
            'instances': [_listed_json(number) for number in range(count)],
        },
    ).encode()


def _listed_json(number: int) -> dict[str, Any]:
    return {
        'name': f'agent-{number:05d}',
        'incarnation': samples.digest_of(number)[:16],
        'role': 'agent',
        'address': f'10.{number % 200}.{number // 200}.9:7000',
        'admin_address': f'10.{number % 200}.{number // 200}.9:7001',
        'availability_zone': f'zone-{number % 6}',
        'state': 'live',
        'labels': {
            'upstream': f'upstream-{number:05d}',
            'kind': 'decode' if number % 2 else 'prefill',
            'serves': samples.MODELS[number % 5],
        },
    }


class StoredAnswer:
    """Connection pool that answers every request with the same body."""

    def __init__(self, body: bytes) -> None:
        """Keep the body."""
        self.body = body

    def request(self, *_: Any, **_named: Any) -> Any:
        """Return the body as an HTTP response."""
        response: Any = urllib3.HTTPResponse(
            io.BytesIO(self.body),
            status=200,
            preload_content=False,
        )
        response.limits = ReadLimits()
        return response


def read_list(body: bytes) -> Listing:
    """Read a list through the real client, without the network."""
    pool = cast('urllib3.PoolManager', StoredAnswer(body))
    listing = ListClient('http://list', pool).read()
    if not isinstance(listing, Listing):
        raise TypeError(listing.sentence)
    return listing


def parse_list(count: int) -> Operation:
    """Return an operation that reads a list of some instances."""
    body = listing_json(count)
    return lambda: read_list(body)


def apply_list(count: int) -> Operation:
    """Return an operation that takes a new list into a membership view."""
    view = states.build_members(count)
    seen = ListReceived(2, states.listed_of(count))
    return lambda: apply_event(view, seen, 2)


def repeat_list(count: int) -> Operation:
    """Return an operation that sees the same list version again."""
    view = states.build_members(count)
    seen = ListReceived(1, states.listed_of(count))
    return lambda: apply_event(view, seen, 2)


def rank_subset_members(count: int) -> Operation:
    """Return an operation that chooses an entry's subset of one pool."""
    members = [
        Member(f'upstream-{number:05d}', f'zone-{number % 6}')
        for number in range(count)
    ]
    return lambda: choose_subset('entry-001', members, 64)


def observe_reports(prefixes: int) -> Operation:
    """Return an operation that takes in 500 reports of known upstreams."""
    view = states.build_view(50, prefixes)
    reports = [states.report_of(number, prefixes) for number in range(50)]

    def run() -> None:
        for _ in range(10):
            for report in reports:
                view.apply_report(report, 1)

    return run


def _carry_token(count: int) -> Operation:
    return carry(capacity_wire.tokens(1), count)


def _carry_report(count: int) -> Operation:
    return carry(capacity_wire.load_report(0), count)


def _carry_prefixes(prefixes: int) -> Operation:
    return carry(capacity_wire.load_report(prefixes), 500)


def _place_in_subset(count: int) -> Operation:
    return place_many(states.build_view(128), count, SEED)


def time_slopes() -> dict[str, Fit]:
    """Return the processor seconds of each operation."""
    lists = (700, 1400, 2800, 5600, 8260)
    prefixes = (16, 64, 128, 256)
    plain = {
        'token frame, both ends': (_carry_token, COUNTS),
        'load report frame, both ends': (_carry_report, COUNTS),
        'placement (128 upstreams)': (_place_in_subset, COUNTS),
        'draw and settlement at the holder': (draw_many, COUNTS),
        'claim at its committer': (claim_many, COUNTS),
        'claim read by another committer': (follow_claims, COUNTS),
        'claim read by a process that skips it': (skip_claims, COUNTS),
        'log record read and applied': (apply_many, COUNTS),
        'instance of a list read': (parse_list, lists),
        'instance of a new list applied': (apply_list, lists),
        'instance of an unchanged list applied': (repeat_list, lists),
        'member ranked for the subset': (rank_subset_members, lists),
    }
    fits = {
        name: _fit_times(prepare, sizes)
        for name, (prepare, sizes) in plain.items()
    }
    for name, prepare in (
        ('prefix of a report carried', _carry_prefixes),
        ('prefix of a report observed', observe_reports),
    ):
        fit = _fit_times(prepare, prefixes)
        # Each operation handles 500 reports.
        fits[name] = Fit(fit.slope / 500, fit.intercept / 500, fit.residual)
    return fits


def _fit_times(
    prepare: Callable[[int], Operation],
    sizes: Sequence[int],
) -> Fit:
    return fit_line(sizes, times_of(prepare, sizes))


def placement_by_view() -> dict[int, float]:
    """Return the seconds of a placement by the number of upstreams."""
    return {
        size: times_of(_placements_in(size), (1000,))[0] / 1000
        for size in (64, 128, 640)
    }


def _placements_in(size: int) -> Callable[[int], Operation]:
    return lambda count: place_many(states.build_view(size), count, SEED)
