"""The reduced state of the log, the same at every reader."""

from __future__ import annotations

from typing import Any, Final

import attrs
import cattrs

from gypsumrelay_configuration.documents import (
    Configuration,
    Contract,
    Drain,
    Fence,
    Key,
    Model,
    Route,
    Share,
)

_CONVERTER: Final = cattrs.Converter()


@attrs.define
class State:
    """Everything that the log decides, up to and including `offset`."""

    offset: int = -1
    configuration: Configuration = attrs.field(factory=Configuration)
    contracts: dict[str, Contract] = attrs.field(factory=dict)
    contract_versions: dict[str, int] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)
    key_ids: dict[str, str] = attrs.field(factory=dict)
    drains: dict[str, Drain] = attrs.field(factory=dict)
    shares: dict[str, Share] = attrs.field(factory=dict)
    fences: dict[str, Fence] = attrs.field(factory=dict)


def share_id(client_account: str, number: int) -> str:
    """Return the key of a share in `State.shares`."""
    return f'{client_account}/{number}'


def drain_id(subject: str, name: str) -> str:
    """Return the key of a drain in `State.drains`."""
    return f'{subject}/{name}'


def is_drained(state: State, subject: str, name: str) -> bool:
    """Return whether operators took the subject out of service."""
    drain = state.drains.get(drain_id(subject, name))
    return drain is not None and drain.drained


def find_key(state: State, digest: str) -> Key | None:
    """Return the key with a digest.

    The lookup is by a digest of 256 bits, so its time tells nothing that
    helps to guess a key.
    """
    return state.keys.get(digest)


def find_model(state: State, name: str) -> Model | None:
    """Return a model of the configuration."""
    for model in state.configuration.models:
        if model.name == name:
            return model
    return None


def find_route(state: State, method: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix."""
    matching = [
        route
        for route in state.configuration.routes
        if route.method == method and path_matches(route.path, path)
    ]
    return max(matching, key=_prefix_length, default=None)


def path_matches(prefix: str, path: str) -> bool:
    """Return whether a path is the prefix or lies below it."""
    return path == prefix or path.startswith(f'{prefix.rstrip("/")}/')


def dump_state(state: State) -> dict[str, Any]:
    """Return a state as JSON-ready data."""
    dumped: dict[str, Any] = _CONVERTER.unstructure(state)
    return dumped


def load_state(dumped: dict[str, Any]) -> State:
    """Return the state in JSON-ready data."""
    return _CONVERTER.structure(dumped, State)


def _prefix_length(route: Route) -> int:
    return len(route.path)
