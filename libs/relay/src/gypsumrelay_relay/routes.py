"""The configuration as requests use it: routes, services, accounts."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gypsumrelay_dispatch import AccountRules, ServiceRules


class Repeatability(enum.Enum):
    """What may be done with a request a second time."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'


@attrs.frozen
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests under a host and path go, and what they may cost.

    Attributes:
        name: Name of the route.
        host: Host header that it matches.
        path_prefix: Start of the path that it matches.
        repeatability: Whether a request may run again.
        targets: Services, by weight.
        timeout_ms: Longest time that a caller is kept waiting.
        aim_ms: Time within which an answer is on time.
        max_attempts: Most upstreams that one request may run on.
        priority: Rank, 0 first.
        is_public: Whether no key is needed.
        resumable: Whether a stream may go on at another upstream.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    targets: tuple[Target, ...]
    timeout_ms: float
    aim_ms: float
    max_attempts: int = 1
    priority: int = 0
    is_public: bool = False
    resumable: bool = False


@attrs.frozen
class Account:
    """A client account as requests see it.

    Attributes:
        name: Name of the account.
        priority: Rank that goes before the route's, if set.
        plain_tokens: Charge of a request without token counts.
    """

    name: str
    priority: int | None = None
    plain_tokens: int = 1


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

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
        services: Rules by service.
        accounts: Accounts by key.
        account_rules: Limits of all accounts.
        limits: Limits towards callers.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceRules]
    accounts: Mapping[str, Account]
    account_rules: tuple[AccountRules, ...]
    limits: CallerLimits = CallerLimits()


def find_route(
    configuration: Configuration,
    host: str,
    path: str,
) -> Route | None:
    """Return the route with the longest prefix of a path."""
    for route in configuration.routes.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_target(route: Route, draw: float) -> str:
    """Return a service by weight.

    Args:
        route: The route.
        draw: A number from 0 to 1 that decides.
    """
    point = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
