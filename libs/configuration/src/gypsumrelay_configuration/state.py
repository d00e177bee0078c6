"""The state that is reduced from the log, identical at every reader."""

from __future__ import annotations

from operator import itemgetter
from typing import Any, Final

import attrs
import cattrs
from cattrs.gen import (
    make_dict_structure_fn,
    make_dict_unstructure_fn,
    override,
)

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
from gypsumrelay_configuration.progress import (
    Completed,
    ReadPosition,
    SnapshotProgress,
)


@attrs.define
class State:
    """The result of all records up to and including `offset`.

    Attributes:
        offset: Offset of the last record that was applied.
        configuration: Configuration in force.
        contracts: Contracts in force, by client account.
        contract_versions: Newest version of each contract, by client
            account; also of contracts that were removed recently.
        keys: API keys by digest.
        key_ids: Digest of each key id; empty for an id that was withdrawn
            before a key was granted under it.
        drains: Drains by subject and name (see `drain_id`).
        shares: Shares by client account and number (see `share_id`).
        fences: Newest fencing token of each upstream.
        removals: Offset of the last removal of each account's contract.
        withdrawals: Offset of the withdrawal of each withdrawn key, by key
            id.
        undrains: Offset at which each lifted drain was lifted.
        snapshots: Progress of unfinished snapshots, by snapshot id.
        completed: Newest snapshot of which every part is in the log.
        read_position: Position of this reader in the log; not part of the
            reduced state.
    """

    offset: int = -1
    configuration: Configuration = attrs.field(factory=Configuration)
    contracts: dict[str, Contract] = attrs.field(factory=dict)
    contract_versions: dict[str, int] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)
    key_ids: dict[str, str] = attrs.field(factory=dict)
    drains: dict[str, Drain] = attrs.field(factory=dict)
    shares: dict[str, Share] = attrs.field(factory=dict)
    fences: dict[str, Fence] = attrs.field(factory=dict)
    removals: dict[str, int] = attrs.field(factory=dict)
    withdrawals: dict[str, int] = attrs.field(factory=dict)
    undrains: dict[str, int] = attrs.field(factory=dict)
    snapshots: dict[str, SnapshotProgress] = attrs.field(factory=dict)
    completed: Completed | None = None
    read_position: ReadPosition = attrs.field(
        factory=ReadPosition, eq=False, repr=False
    )


_CONVERTER: Final = cattrs.Converter()
_CONVERTER.register_unstructure_hook(
    State,
    make_dict_unstructure_fn(
        State, _CONVERTER, read_position=override(omit=True)
    ),
)
_CONVERTER.register_structure_hook(
    State,
    make_dict_structure_fn(
        State, _CONVERTER, read_position=override(omit=True)
    ),
)
# The reducer expires the oldest entries of these mappings first, so they are
# ordered by offset.
_TOMBSTONES: Final = ('removals', 'withdrawals', 'undrains')


def share_id(client_account: str, number: int) -> str:
    """Return the key of a share in `State.shares`."""
    return f'{client_account}/{number}'


def drain_id(subject: str, name: str) -> str:
    """Return the key of a drain in `State.drains`."""
    return f'{subject}/{name}'


def is_drained(state: State, subject: str, name: str) -> bool:
    """Return whether an operator has taken the subject out of service."""
    drain = state.drains.get(drain_id(subject, name))
    return drain is not None and drain.drained


def find_key(state: State, digest: str) -> Key | None:
    """Return the API key with this digest, or None.

    The lookup uses a digest of 256 bits, so its duration reveals nothing
    that helps to guess a key.
    """
    return state.keys.get(digest)


def find_model(state: State, name: str) -> Model | None:
    """Return the model with this name, or None."""
    for model in state.configuration.models:
        if model.name == name:
            return model
    return None


def find_route(state: State, method: str, path: str) -> Route | None:
    """Return the route with the longest matching path prefix, or None."""
    matching = [
        route
        for route in state.configuration.routes
        if route.method == method and path_matches(route.path, path)
    ]
    return max(matching, key=_prefix_length, default=None)


def path_matches(prefix: str, path: str) -> bool:
    """Return whether a path equals the prefix or is below it."""
    return path == prefix or path.startswith(f'{prefix.rstrip("/")}/')


def dump_state(state: State) -> dict[str, Any]:
    """Return a state as data that JSON can represent."""
    dumped: dict[str, Any] = _CONVERTER.unstructure(state)
    return dumped


def load_state(dumped: dict[str, Any]) -> State:
    """Return the state that `dump_state` has dumped.

    Raises:
        cattrs.BaseValidationError: If a member is missing or malformed.
    """
    state = _CONVERTER.structure(dumped, State)
    for name in _TOMBSTONES:
        ordered = sorted(getattr(state, name).items(), key=itemgetter(1))
        setattr(state, name, dict(ordered))
    return state


def copy_state(state: State) -> State:
    """Return a copy that later changes of the state do not affect.

    The documents are immutable, so only the mappings are copied. That is
    fast enough for the thread that owns the state; the slower dump of the
    copy can be done by another thread.
    """
    copied = State()
    for field in attrs.fields(State):
        found = getattr(state, field.name)
        if field.name != 'read_position':
            member = dict(found) if isinstance(found, dict) else found
            setattr(copied, field.name, member)
    return copied


def _prefix_length(route: Route) -> int:
    return len(route.path)
