"""The configuration in the form that requests use."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumrelay_dispatch import AccountLimits, ServiceLimits


class RetryPolicy(enum.Enum):
    """Whether and how a request may run a second time."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'


@attrs.frozen
class Target:
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests for a host and path prefix go, and their limits.

    Attributes:
        name: Name of the route.
        host: Host header that it matches.
        path_prefix: Path prefix that it matches.
        retry_policy: Whether and how a request may run a second time.
        targets: Services with their weights.
        timeout_ms: Longest time in milliseconds until a caller gets its answer.
        latency_objective_ms: Latency objective in milliseconds.
        max_attempts: Maximum number of upstreams that may run one request.
        priority: Priority in the queue; 0 comes first.
        is_public: Whether no API key is needed.
        resumable: Whether a stream may be resumed at another upstream.
    """

    name: str
    host: str
    path_prefix: str
    retry_policy: RetryPolicy
    targets: tuple[Target, ...]
    timeout_ms: float
    latency_objective_ms: float
    max_attempts: int = 1
    priority: int = 0
    is_public: bool = False
    resumable: bool = False

    @property
    def may_run_again(self) -> bool:
        """Return whether one request may run more than once."""
        if self.retry_policy is RetryPolicy.stream:
            return self.resumable
        return self.retry_policy is RetryPolicy.idempotent


@attrs.frozen
class Account:
    """A client account, as requests use it.

    Attributes:
        name: Name of the client account.
        priority: Priority that replaces the route's; None for the route's.
        default_tokens: Tokens charged for a request without token counts.
    """

    name: str
    priority: int | None = None
    default_tokens: int = 1


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of a caller's request.

    Attributes:
        header_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        header_seconds: Time limit for the arrival of a request's head.
        idle_seconds: Time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 5
    idle_seconds: float = 30


@attrs.frozen
class Configuration:
    """One version of the configuration, indexed for requests.

    Attributes:
        version: Number that grows with each change.
        routes: Routes by host, the longest path prefix first.
        services: Limits of the services, by name.
        accounts: Client accounts by API key.
        account_limits: Limits of all client accounts.
        limits: Limits for callers.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceLimits]
    accounts: Mapping[str, Account]
    account_limits: tuple[AccountLimits, ...]
    limits: CallerLimits = CallerLimits()


def find_route(
    configuration: Configuration,
    host: str,
    path: str,
) -> Route | None:
    """Return the route of a host with the longest matching path prefix."""
    for route in configuration.routes.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_target(route: Route, fraction: float) -> str:
    """Return a service of a route, by weight.

    Args:
        route: The route.
        fraction: A number in [0, 1), distributed evenly over the requests.
    """
    point = fraction * sum(target.weight for target in route.targets)
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
