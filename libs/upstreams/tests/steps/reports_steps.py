"""Steps for load summaries and prefix hints."""

from __future__ import annotations

from typing import Any

from behave import then
from gypsumrelay_upstreams import (
    CacheEvent,
    ColdRamp,
    HintSettings,
    Key,
    Ledger,
    LedgerSettings,
    LoadSummary,
    PrefixHints,
    RampSettings,
    ReserveRequest,
    cached_pieces,
    ledger,
    observe_events,
    observe_use,
    summarize,
)


def encode_letters(text: str) -> list[bytes]:
    return [letter.encode() for letter in text]


def summary(hints: PrefixHints, now: float, state: Any = None) -> LoadSummary:
    ramp = ColdRamp(RampSettings(), 20, 0)
    return summarize(state or Ledger(LedgerSettings(), 'a'), ramp, hints, now)


@then('the events result in these hints')
def check_hints(context: Any) -> None:
    hints = PrefixHints()
    for now, row in enumerate(context.table, 1):
        asked_at = 1 if row['engine'] == 'late' else now
        for step, word in enumerate(row['events'].split()):
            number, sign, prefix = word
            event = CacheEvent(int(number), sign == '+', prefix.encode())
            at = asked_at + step / 10
            observe_events(hints, row['engine'], [event], at, at)
        certain = sorted(
            prefix for prefix, hint in hints.by_prefix.items() if hint.certain
        )
        assert certain == encode_letters(row['certain']), (row, hints)
        reported = list(summary(hints, now + 0.9).prefixes)
        assert reported == encode_letters(row['reported']), (row, reported)
        assert cached_pieces(hints, [*certain, b'-']) == len(certain)


@then(
    'of {count:d} stored prefixes the newest {kept:d} are reported, and '
    'uncertain ones for {seconds:d} seconds',
)
def check_newest(context: Any, count: int, kept: int, seconds: int) -> None:
    hints = PrefixHints(HintSettings(max_hints=count))
    names = [b'%d' % number for number in range(count + 1)]
    for now, name in enumerate(names):
        observe_use(hints, [name], now)
    assert len(hints.by_prefix) == count
    newest = list(reversed(names))
    assert list(summary(hints, count).prefixes) == newest[:kept]
    gap_event = CacheEvent(7, stored=False, prefix=b'-')
    observe_events(hints, '', [gap_event], count, count)
    assert summary(hints, count + seconds - 1).prefixes
    assert not summary(hints, count + seconds).prefixes


@then(
    'a summary has 19 free slots at the full limit, 0 at limit 1 and 0 when '
    'draining',
)
def check_slots(context: Any) -> None:
    state = Ledger(LedgerSettings(), 'a', limit=20, engine='e1')
    ledger.open_link(state, 'l', 0)
    request = ReserveRequest(Key('r', 1), 'c', 99, prompt_tokens=4001)
    ledger.reserve(state, request, 'l', 0)
    found = summary(PrefixHints(), 0, state)
    assert (found.free_slots, found.free_pieces) == (19, 197)
    ledger.set_limit(state, 1, 0)
    assert summary(PrefixHints(), 0, state).free_slots == 0
    ledger.set_limit(state, 20, 0)
    ledger.drain(state, 0)
    found = summary(PrefixHints(), 0, state)
    assert found.draining
    assert found.free_slots == 0
