"""Data model of a deployment, as in the files under examples/."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import attrs
import cattrs
from gypsumrelay_configuration import Configuration, Contract

if TYPE_CHECKING:
    from pathlib import Path

_POOLS: Final = (
    ('prefill', 'model'),
    ('decode', 'model'),
    ('service', 'orders'),
)


@attrs.frozen
class EntryPlace:
    """Entry process of a deployment and its availability zone."""

    name: str
    availability_zone: str


@attrs.frozen
class UpstreamPlace:
    """Upstream of a deployment.

    Attributes:
        name: Name of the upstream.
        kind: `prefill`, `decode` or `service`.
        serves: Model or service that the upstream serves.
        availability_zone: Its availability zone.
    """

    name: str
    kind: str
    serves: str
    availability_zone: str


@attrs.frozen
class Deployment:
    """Processes and configuration of a demonstration system.

    Attributes:
        name: Name of the deployment.
        availability_zones: Availability zones of all processes.
        one_way_ms: One-way network latency between zones, in milliseconds.
        client_ms: Network latency of clients, in milliseconds.
        entries: Entry processes.
        upstreams: Upstreams, each of which has an agent.
        configuration: The published configuration.
        contracts: Contracts of all client accounts.
        engine: Options of the simulated engines.
        service: Options of the simulated services.
        platform: Options of the simulated platform services by kind.
        entry_settings: Settings of entries that differ from the defaults.
        agent_settings: Settings of agents that differ from the defaults.
    """

    name: str
    availability_zones: tuple[str, ...]
    one_way_ms: float
    client_ms: float
    entries: tuple[EntryPlace, ...]
    upstreams: tuple[UpstreamPlace, ...]
    configuration: Configuration
    contracts: tuple[Contract, ...]
    engine: dict[str, Any] = attrs.field(factory=dict)
    service: dict[str, Any] = attrs.field(factory=dict)
    platform: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    entry_settings: dict[str, Any] = attrs.field(factory=dict)
    agent_settings: dict[str, Any] = attrs.field(factory=dict)


def read_deployment(path: Path) -> Deployment:
    """Return the deployment described by a JSON file."""
    return cattrs.structure(json.loads(path.read_text()), Deployment)


def smallest_deployment() -> Deployment:
    """Return a deployment of one entry and one upstream of each kind."""
    return cattrs.structure(
        {
            'name': 'smallest',
            'availability_zones': ['a'],
            'one_way_ms': 0,
            'client_ms': 0,
            'entries': [{'name': 'entry-0', 'availability_zone': 'a'}],
            'upstreams': [
                _upstream('prefill-0', 'prefill', 'model'),
                _upstream('decode-0', 'decode', 'model'),
                _upstream('service-0', 'service', 'orders'),
            ],
            'configuration': {
                'models': [{'name': 'model'}],
                'routes': [
                    _route('order', 'POST', '/orders', idempotent=False),
                    _route('stock', 'GET', '/stock', idempotent=True),
                    _route('health', 'GET', '/open', idempotent=True),
                ],
            },
            'contracts': [
                {
                    'client_account': 'first',
                    'tokens_per_second': 20000,
                    'burst_tokens': 60000,
                    'models': ['model'],
                    'routes': ['order', 'stock'],
                },
            ],
        },
        Deployment,
    )


def two_zone_deployment(**engine: object) -> Deployment:
    """Return a deployment of two zones.

    Each zone has one entry and one upstream of each kind.

    Args:
        engine: Options of the simulated engines.
    """
    places = [
        _upstream(f'{kind}-{number}', kind, serves, 'ab'[number])
        for kind, serves in _POOLS
        for number in range(2)
    ]
    smallest = smallest_deployment()
    return attrs.evolve(
        smallest,
        name='two-zones',
        availability_zones=('a', 'b'),
        entries=(EntryPlace('entry-0', 'a'), EntryPlace('entry-1', 'b')),
        upstreams=tuple(UpstreamPlace(**place) for place in places),
        engine=engine,
    )


def _upstream(
    name: str,
    kind: str,
    serves: str,
    availability_zone: str = 'a',
) -> dict[str, str]:
    return {
        'name': name,
        'kind': kind,
        'serves': serves,
        'availability_zone': availability_zone,
    }


def _route(
    name: str,
    method: str,
    path: str,
    *,
    idempotent: bool,
) -> dict[str, Any]:
    return {
        'name': name,
        'method': method,
        'path': path,
        'service': 'orders',
        'idempotent': idempotent,
        'open': path == '/open',
    }
