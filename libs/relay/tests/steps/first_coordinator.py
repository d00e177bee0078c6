"""Steps of membership.feature: requests that wait for a coordinator."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import attrs
from behave import given, then
from changes import give_place, new_request
from gypsumrelay_wire import PlaceRequest


@given('a relay that waits for a placement and has no coordinator yet')
def give_waiting(context: Any) -> None:
    give_place(context)
    coordination = context.coordination
    context.told = []
    coordination.actor = SimpleNamespace(tell=context.told.append)
    coordination.request_placement(new_request('first'))


@given('a stream that goes on waits there, too')
def give_stream_that_goes_on(context: Any) -> None:
    request = attrs.evolve(new_request('stream'), resumes=b'start')
    context.coordination.request_placement(request)


@then('the stream that goes on is requested first')
def check_goes_on_first(context: Any) -> None:
    requested = [
        message.request_id
        for message in context.sent
        if isinstance(message, PlaceRequest)
    ]
    assert requested[0] == 'stream', requested
    assert 'first' in requested, requested


@then('its own coordinator gets no request')
def check_no_request(context: Any) -> None:
    assert not context.told, context.told


@then('the new coordinator gets the request')
def check_requested(context: Any) -> None:
    requested = [
        message.request_id
        for message in context.sent
        if isinstance(message, PlaceRequest)
    ]
    assert 'first' in requested, requested
