"""Client of the platform's list of live and leaving instances."""

from __future__ import annotations

from typing import Any

import attrs
import urllib3
from gypsumrelay_errors import Outcome, PlatformUnavailable

from gypsumrelay_platform.http import exchange, new_pool


@attrs.frozen
class ListedInstance:
    """One instance as the platform lists it."""

    name: str
    incarnation: str
    role: str
    address: tuple[str, int]
    admin_address: tuple[str, int]
    availability_zone: str
    leaving: bool
    upstream: str = ''
    kind: str = ''
    serves: str = ''


@attrs.frozen
class Listing:
    """The list at one of its versions; it lags behind what is true."""

    version: int
    instances: tuple[ListedInstance, ...]


@attrs.frozen
class ListClient:
    """Reads the instance list."""

    url: str
    pool: urllib3.PoolManager = attrs.field(factory=new_pool)

    def read(self) -> Listing | PlatformUnavailable:
        """Return the current list."""
        answer = exchange(self.pool, 'GET', f'{self.url}/instances')
        if isinstance(answer, PlatformUnavailable):
            return answer
        try:
            return _listing(answer)
        except (TypeError, KeyError, ValueError, AttributeError):
            return PlatformUnavailable(
                'the instance list has missing fields',
                Outcome.unknown,
            )


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of an address like `10.0.0.1:7000`."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def _listing(answer: dict[str, Any]) -> Listing:
    instances = tuple(_instance(raw) for raw in answer['instances'])
    return Listing(int(answer['version']), instances)


def _instance(raw: dict[str, Any]) -> ListedInstance:
    labels = raw.get('labels', {})
    return ListedInstance(
        name=str(raw['name']),
        incarnation=str(raw['incarnation']),
        role=str(raw['role']),
        address=parse_address(raw['address']),
        admin_address=parse_address(raw['admin_address']),
        availability_zone=str(raw['availability_zone']),
        leaving=raw['state'] != 'live',
        upstream=str(labels.get('upstream', '')),
        kind=str(labels.get('kind', '')),
        serves=str(labels.get('serves', '')),
    )
