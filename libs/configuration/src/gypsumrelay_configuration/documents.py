"""Documents that operators publish, and the documents of the state."""

from __future__ import annotations

import attrs
from gypsumrelay_settings import bounded

# The peak of a whole deployment is 29 million tokens per second.
MAX_TOKENS_PER_SECOND = 100_000_000
MAX_BURST_TOKENS = 10_000_000_000
MAX_MODEL_TOKENS = 10_000_000
MAX_TIMEOUT_MS = 3_600_000


@attrs.frozen
class Contract:
    """The limits, permissions and latency targets of one client account.

    Attributes:
        client_account: Name of the client account.
        tokens_per_second: Rate limit over the whole deployment.
        burst_tokens: Burst limit over the whole deployment.
        models: Names of the models that the account may use.
        routes: Names of the routes that the account may use.
        priority: Priority from 0 (most urgent) to 9 (may wait longest).
        first_token_ms: Target for the time to the first token.
        between_tokens_ms: Target for the time between tokens.
        version: Number of accepted changes of this contract.
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
    """An API key of a client account; only its digest is stored."""

    key_id: str
    client_account: str
    digest: str
    withdrawn: bool = False


@attrs.frozen
class Model:
    """A model and the limits of a request to it.

    Attributes:
        name: Name of the model.
        context_tokens: Maximum of prompt and output tokens together.
        output_tokens: Maximum of output tokens.
    """

    name: str
    context_tokens: int = bounded(1, MAX_MODEL_TOKENS, default=32768)
    output_tokens: int = bounded(1, MAX_MODEL_TOKENS, default=4096)


@attrs.frozen
class Route:
    """A method and a path prefix that are forwarded to a plain service.

    Attributes:
        name: Name of the route.
        method: HTTP method.
        path: Path prefix.
        service: Name of the service.
        idempotent: Whether a request may be repeated.
        open: Whether a request needs no API key.
        cost_tokens: Tokens that a request takes from the account's rate.
        timeout_ms: Maximum duration of a request.
    """

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
    """The published configuration of a deployment.

    Attributes:
        models: Models that requests may name.
        routes: Routes to plain services.
        shares_per_account: Number of shares into which the rate of each
            client account is divided.
        version: Number of accepted changes of the configuration.
    """

    models: tuple[Model, ...] = ()
    routes: tuple[Route, ...] = ()
    shares_per_account: int = bounded(1, 64, default=2)
    version: int = 0


@attrs.frozen
class Share:
    """The holder of a share of an account's rate and burst.

    Attributes:
        client_account: Name of the client account.
        number: Number of the share, from 0.
        epoch: Number of assignments of the share so far.
        holder: Name of the process that grants from the share; empty after
            a release.
        incarnation: Incarnation of that process.
    """

    client_account: str
    number: int
    epoch: int
    holder: str
    incarnation: str


@attrs.frozen
class Fence:
    """The newest fencing token of an upstream and the agent that took it."""

    upstream: str
    number: int
    agent: str
    incarnation: str


@attrs.frozen
class Drain:
    """Whether a zone, instance or upstream is taken out of service."""

    subject: str
    name: str
    drained: bool
    version: int
