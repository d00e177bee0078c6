"""Bytes on the wire for each message, with the frame around it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gypsumrelay_wire import (
    Cancel,
    Claim,
    Claimed,
    Decode,
    Finished,
    FrameWriter,
    Heartbeat,
    LoadReport,
    Message,
    Prefill,
    Prefilled,
    Reserve,
    Reserved,
    Settle,
    TokenGrant,
    TokenRequest,
    Tokens,
    encode,
)

from gypsumrelay_bench import capacity_samples as samples
from gypsumrelay_bench.capacity_fit import Fit, fit_line

# A link that has been up for a day has a sequence number of five bytes.
SEQUENCE: Final = 100_000
REQUEST: Final = 'entry-001/0a1b2c3d4e5f6071'
UPSTREAM: Final = 'upstream-00001'
URL: Final = 'http://10.0.17.23:8000/kv'
DIGEST: Final = b'd' * 8
LONG_DIGEST: Final = b'd' * 32


def load_report(prefixes: int) -> LoadReport:
    """Return a load report with some prefix digests."""
    return LoadReport(
        UPSTREAM,
        'decode',
        'model-a',
        12,
        160,
        0,
        draining=False,
        cold=False,
        prefixes=[DIGEST for _ in range(prefixes)],
        slots=20,
        decode_ms=25,
    )


def reserve(prefixes: int) -> Reserve:
    """Return a reservation of a prompt with some full blocks."""
    return Reserve(
        REQUEST,
        1,
        samples.account_of(1),
        'decode',
        'model-a',
        2000 * prefixes,
        300,
        [DIGEST for _ in range(prefixes)],
        5,
        1500,
        LONG_DIGEST[:16],
        1300,
    )


def prompt(size: int) -> Prefill:
    """Return a prefill with a prompt of some bytes."""
    return Prefill(REQUEST, 1, 'model-a', 'p' * size, 1500)


def tokens(count: int) -> Tokens:
    """Return a batch of output tokens of four bytes each."""
    return Tokens(REQUEST, 1, 120, count, b'text' * count)


def sample_messages() -> dict[str, Message]:
    """Return one message of each kind that a request or a second needs."""
    account = samples.account_of(1)
    return {
        'heartbeat': Heartbeat(4_000_000, 1_780_000_000_000, 3),
        'load report without prefixes': load_report(0),
        'reserve without prefixes': reserve(0),
        'reserved': Reserved(REQUEST, 1, 2000),
        'prefilled': Prefilled(REQUEST, 1, 'kv-0a1b2c3d', URL, 700, 0),
        'decode': Decode(REQUEST, 1, 'kv-0a1b2c3d', URL, 0, 300, 5, 1500),
        'one token': tokens(1),
        'finished': Finished(REQUEST, 1, 300, 'stop'),
        'cancel': Cancel(REQUEST, 1),
        'draw': TokenRequest(REQUEST, account, 1, 1300, 1500, 200),
        'drawn': TokenGrant(REQUEST, account, 1, 1300),
        'settle': Settle(REQUEST, account, 1, 900),
        'claim message': Claim(
            REQUEST,
            account,
            LONG_DIGEST,
            LONG_DIGEST,
            durable=True,
            agent='agent-00001',
            remaining_ms=1500,
        ),
        'claimed': Claimed(REQUEST),
    }


def framed_bytes(message: Message) -> int:
    """Return the bytes of a message on a link."""
    writer = FrameWriter(b'k' * 32, SEQUENCE)
    return len(writer.frame(encode(message)))


def message_bytes() -> dict[str, int]:
    """Return the bytes of each message and of each log record."""
    sizes = {
        name: framed_bytes(message)
        for name, message in sample_messages().items()
    }
    bare = len(encode(Heartbeat(4_000_000, 1_780_000_000_000, 3)))
    sizes['frame overhead'] = sizes['heartbeat'] - bare
    records = {
        'contract record': samples.contract_record(1),
        'key record': samples.key_record(1),
        'share record': samples.share_record(1),
        'fence record': samples.fence_record(1),
        'claim batch of 8': samples.claim_batch(0, 8),
    }
    for name, record in records.items():
        sizes[name] = samples.json_bytes(record)
    return sizes


def wire_slopes() -> dict[str, Fit]:
    """Return the bytes for each prefix, prompt byte, token and claim."""
    counts = (8, 32, 64, 128)
    texts = (1000, 4000, 16_000, 40_000)
    batches = (1, 8, 32, 128)
    return {
        'report bytes per prefix': _fit_messages(load_report, counts),
        'reserve bytes per prefix': _fit_messages(reserve, counts),
        'prefill bytes per prompt byte': _fit_messages(prompt, texts),
        'token batch bytes per token': _fit_messages(tokens, (4, 16, 64)),
        'claim record bytes per claim': fit_line(
            batches,
            [
                samples.json_bytes(samples.claim_batch(0, count))
                for count in batches
            ],
        ),
    }


def _fit_messages(
    make: Callable[[int], Message],
    counts: tuple[int, ...],
) -> Fit:
    measured = [framed_bytes(make(count)) for count in counts]
    return fit_line(counts, measured)
