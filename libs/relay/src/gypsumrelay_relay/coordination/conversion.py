"""Conversion between the coordinator's messages and those of the links."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any, Final

import attrs
from gypsumrelay_wire import (
    ContentQuarantined,
    LimitEnded,
    LimitStated,
    Message,
    PerformanceReported,
    PlaceEnded,
    PlaceHeld,
    PlaceRequest,
    PromptRead,
    RepeatsUsed,
    RolloutUsed,
    SendsUsed,
    StreamsBegan,
    SubjectsCompleted,
    TokensUsed,
    UpstreamCrashed,
    UpstreamLeaving,
    UpstreamPaused,
)

from gypsumrelay_relay.coordination import messages
from gypsumrelay_relay.crash_reports import crash_from_wire, crash_to_wire
from gypsumrelay_relay.performance.messages import (
    MeasurementsReported,
    measurements_from_wire,
    measurements_to_wire,
)
from gypsumrelay_relay.placement import (
    parse_ending,
    rate_from_wire,
    rate_to_wire,
    report_message,
    reported_placement,
    request_from_message,
    request_message,
    start_to_wire,
)
from gypsumrelay_relay.rollouts import (
    RolloutReported,
    report_from_wire,
    report_to_wire,
)
from gypsumrelay_relay.stream_messages import StreamsReported

MS_PER_SECOND: Final = 1000


def to_wire(message: Any, now: float) -> Message:
    """Return the message that tells the coordinator on another relay.

    Args:
        message: The message to a coordinator on this relay.
        now: The present instant.

    Raises:
        TypeError: The message is for a coordinator on the same relay only.
    """
    match message:
        case messages.PlacementRequested(request):
            return request_message(request, now)
        case messages.PrefillEnded(key, ending):
            return PromptRead(*key, ending.value)
        case messages.PlacementEnded(key, ending, began, events, stream_ms):
            sent = PlaceEnded(*key, ending.value, began, events, stream_ms)
            return attrs.evolve(sent, transfer_ms=message.transfer_ms)
        case messages.RateLimitEndReported(upstream, key):
            return LimitEnded(upstream, *key)
    return _report_to_wire(message, now)


def from_wire(message: Message, sender: str, now: float) -> Any:
    """Return the coordinator's message in a message from another relay.

    Args:
        message: The message.
        sender: Name of the other relay.
        now: The present instant.

    Returns:
        The message; None for one that does not concern the coordinator.
    """
    match message:
        case PlaceRequest():
            request = request_from_message(message, sender, now)
            return messages.PlacementRequested(request)
        case PromptRead() | PlaceEnded() | LimitEnded():
            return _result_from_wire(message)
        case UpstreamPaused(upstream, started_ms, left_ms):
            until = now + max(0, left_ms) / MS_PER_SECOND
            return messages.PauseReported(
                sender, upstream, max(0, started_ms), until
            )
        case RolloutUsed():
            return report_from_wire(message, sender)
        case PlaceHeld():
            placement = reported_placement(message, sender, now)
            return messages.PlacementReported(placement)
    return _report_from_wire(message, now)


def _report_to_wire(message: Any, now: float) -> Message:
    match message:
        case messages.PlacementReported(placement):
            return report_message(placement)
        case messages.RetriesReported(service, count, total):
            return RepeatsUsed(service, count, total)
        case StreamsReported(version, digests):
            return StreamsBegan(version, list(digests))
        case messages.RateLimitReported(upstream, per_second, is_new):
            return LimitStated(upstream, rate_to_wire(per_second), is_new)
        case messages.SendsReported(upstream, sent_at):
            return SendsUsed(upstream, [_age_ms(at, now) for at in sent_at])
        case messages.ChargesReported(client_account, charges):
            ages = [_age_ms(at, now) for at in charges]
            return TokensUsed(client_account, ages, list(charges.values()))
    return _statement_to_wire(message, now)


def _statement_to_wire(message: Any, now: float) -> Message:
    match message:
        case MeasurementsReported():
            return measurements_to_wire(message)
        case RolloutReported(_, found):
            return report_to_wire(found)
        case messages.LeavingReported(upstream, started_ms):
            return UpstreamLeaving(upstream, start_to_wire(started_ms))
        case messages.PauseReported(_, upstream, started_ms, until):
            # A pause must not end earlier for the coordinator.
            left_ms = math.ceil(max(0, until - now) * MS_PER_SECOND)
            return UpstreamPaused(upstream, start_to_wire(started_ms), left_ms)
    return _crash_report_to_wire(message, now)


def _crash_report_to_wire(message: Any, now: float) -> Message:
    match message:
        case messages.QuarantineReported(digest, since):
            return ContentQuarantined(digest, _age_ms(since, now))
        case messages.CrashReported(crash):
            return crash_to_wire(crash, now)
        case messages.CompletionsReported(started_at):
            ages_ms = [_age_ms(at, now) for at in started_at.values()]
            return SubjectsCompleted(list(started_at), ages_ms)
    raise TypeError(type(message).__name__)


def _report_from_wire(message: Message, now: float) -> Any:
    match message:
        case RepeatsUsed(service, count, total):
            return messages.RetriesReported(service, count, total)
        case StreamsBegan(version, digests):
            return StreamsReported(version, tuple(digests))
        case LimitStated(upstream, rate, is_new):
            per_second = rate_from_wire(max(0, rate))
            return messages.RateLimitReported(upstream, per_second, is_new)
        case SendsUsed(upstream, ages):
            sent_at = tuple(_instant(age, now) for age in ages)
            return messages.SendsReported(upstream, sent_at)
        case TokensUsed(client_account, ages, tokens):
            charges: Counter[float] = Counter()
            for age, charged in zip(ages, tokens, strict=False):
                charges[_instant(age, now)] += max(0, charged)
            return messages.ChargesReported(client_account, charges)
    return _statement_from_wire(message, now)


def _statement_from_wire(message: Message, now: float) -> Any:
    match message:
        case UpstreamLeaving(upstream, started_ms):
            return messages.LeavingReported(upstream, max(0, started_ms))
        case PerformanceReported():
            return measurements_from_wire(message)
    return _crash_report_from_wire(message, now)


def _crash_report_from_wire(message: Message, now: float) -> Any:
    match message:
        case UpstreamCrashed():
            return messages.CrashReported(crash_from_wire(message, now))
        case SubjectsCompleted(subjects, ages_ms):
            instants = [_instant(age_ms, now) for age_ms in ages_ms]
            pairs = zip(subjects, instants, strict=False)
            return messages.CompletionsReported(dict(pairs))
        case ContentQuarantined(digest, rejected_ms):
            return messages.QuarantineReported(
                digest, _instant(rejected_ms, now)
            )
    return None


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * MS_PER_SECOND))


def _instant(age_ms: int, now: float) -> float:
    return now - max(0, age_ms) / MS_PER_SECOND


def _result_from_wire(message: PromptRead | PlaceEnded | LimitEnded) -> Any:
    key = (message.request_id, message.attempt)
    match message:
        case PromptRead(ending=ending):
            return messages.PrefillEnded(key, parse_ending(ending))
        case PlaceEnded(ending=ending, began=began):
            return messages.PlacementEnded(
                key,
                parse_ending(ending),
                began,
                max(0, message.events),
                max(0, message.stream_ms),
                message.transfer_ms,
            )
        case LimitEnded(upstream=upstream):
            return messages.RateLimitEndReported(upstream, key)
