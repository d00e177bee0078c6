"""What operators publish: contracts, keys, models and routes."""

from __future__ import annotations

import attrs
from gypsumrelay_settings import bounded

# 29 million tokens per second is the whole fleet's peak.
MAX_TOKENS_PER_SECOND = 100_000_000
MAX_BURST_TOKENS = 10_000_000_000
MAX_MODEL_TOKENS = 10_000_000
MAX_TIMEOUT_MS = 3_600_000


@attrs.frozen
class Contract:
    """What one client account may use; every limit follows from it.

    Attributes:
        client_account: The account's name.
        tokens_per_second: Rate over the whole fleet.
        burst_tokens: Burst over the whole fleet.
        models: Names of the models that it may use.
        routes: Names of the routes that it may use.
        priority: 0 is the most urgent, 9 may wait longest.
        first_token_ms: Target for the first token.
        between_tokens_ms: Target between tokens.
        version: Counts the accepted changes of this contract.
    """

    client_account: str
    tokens_per_second: int = bounded(1, MAX_TOKENS_PER_SECOND)
    burst_tokens: int = bounded(1, MAX_BURST_TOKENS)
    models: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()
    priority: int = bounded(0, 9, default=5)
    first_token_ms: int = bounded(1, MAX_TIMEOUT_MS, default=1500)
    between_tokens_ms: int = bounded(1, MAX_TIMEOUT_MS, default=29)
    version: int = 0


@attrs.frozen
class Key:
    """One key of a client account; the secret itself is never stored."""

    key_id: str
    client_account: str
    digest: str
    withdrawn: bool = False


@attrs.frozen
class Model:
    """One model and what a request to it may ask for."""

    name: str
    context_tokens: int = bounded(1, MAX_MODEL_TOKENS, default=32768)
    output_tokens: int = bounded(1, MAX_MODEL_TOKENS, default=4096)


@attrs.frozen
class Route:
    """One method under a path prefix of a plain service."""

    name: str
    method: str
    path: str
    service: str
    idempotent: bool = False
    open: bool = False
    cost_tokens: int = bounded(0, MAX_MODEL_TOKENS, default=1)
    timeout_ms: int = bounded(1, MAX_TIMEOUT_MS, default=10000)


@attrs.frozen
class Configuration:
    """The published configuration of a deployment."""

    models: tuple[Model, ...] = ()
    routes: tuple[Route, ...] = ()
    shares_per_account: int = bounded(1, 64, default=2)
    version: int = 0


@attrs.frozen
class Share:
    """Who holds a share of an account's rate and burst."""

    client_account: str
    number: int
    epoch: int
    holder: str
    incarnation: str


@attrs.frozen
class Fence:
    """The newest fencing token of an upstream and who took it."""

    upstream: str
    number: int
    agent: str
    incarnation: str


@attrs.frozen
class Drain:
    """Whether operators took a zone, instance or upstream out of service."""

    subject: str
    name: str
    drained: bool
    version: int
