"""Conversion between the coordinator's messages and those of the links."""

from __future__ import annotations

from typing import Any

from gypsumrelay_wire import (
    LimitEnded,
    LimitStated,
    Message,
    PlaceEnded,
    PlaceHeld,
    PlaceRequest,
    PromptRead,
    RepeatsUsed,
)

from gypsumrelay_relay import coordinator as messages
from gypsumrelay_relay.placement import (
    parse_ending,
    rate_from_wire,
    rate_to_wire,
    report_message,
    reported_placement,
    request_from_message,
    request_message,
)


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
        case messages.PlacementEnded(key, ending):
            return PlaceEnded(*key, ending.value)
        case messages.PlacementReported(placement):
            return report_message(placement)
        case messages.RetriesReported(service, count):
            return RepeatsUsed(service, count)
        case messages.RateLimitStated(upstream, per_second, is_new):
            return LimitStated(upstream, rate_to_wire(per_second), is_new)
        case messages.RateLimitEnded(upstream, key):
            return LimitEnded(upstream, *key)
    raise TypeError(type(message).__name__)


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
        case PlaceHeld():
            placement = reported_placement(message, sender, now)
            return messages.PlacementReported(placement)
        case RepeatsUsed(service, count):
            return messages.RetriesReported(service, count)
        case LimitStated(upstream, rate, is_new):
            per_second = rate_from_wire(max(0, rate))
            return messages.RateLimitStated(upstream, per_second, is_new)
    return None


def _result_from_wire(message: PromptRead | PlaceEnded | LimitEnded) -> Any:
    key = (message.request_id, message.attempt)
    match message:
        case PromptRead(ending=ending):
            return messages.PrefillEnded(key, parse_ending(ending))
        case PlaceEnded(ending=ending):
            return messages.PlacementEnded(key, parse_ending(ending))
        case LimitEnded(upstream=upstream):
            return messages.RateLimitEnded(upstream, key)
