"""Client of the platform's list of instances."""

from __future__ import annotations

from typing import Any

import attrs
import urllib3
from gypsumrelay_errors import Outcome, PlatformUnavailable

from gypsumrelay_platform.http import FIELD_ERRORS, exchange, new_pool


@attrs.frozen
class ListedInstance:
    """One instance as the platform lists it.

    Attributes:
        name: Name of the instance, stable over restarts.
        incarnation: Differs for each start of the process.
        role: Role of the process, for instance `agent`.
        address: Host and port for links.
        admin_address: Host and port of the administration API.
        availability_zone: Availability zone of the instance.
        leaving: Whether the instance is not, or no longer, live.
        upstream: Name of the upstream that an agent serves.
        kind: Kind of that upstream.
        serves: Model or plain service of that upstream.
    """

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
    """The instance list at one version; it lags behind the real state."""

    version: int
    instances: tuple[ListedInstance, ...]


@attrs.frozen
class ListClient:
    """Client that reads the instance list."""

    url: str
    pool: urllib3.PoolManager = attrs.field(factory=new_pool)

    def read(self) -> Listing | PlatformUnavailable:
        """Return the current instance list."""
        answer = exchange(self.pool, 'GET', f'{self.url}/instances')
        if isinstance(answer, PlatformUnavailable):
            return answer
        try:
            return _parse_listing(answer)
        except FIELD_ERRORS:
            return PlatformUnavailable(
                'the instance list has missing fields',
                Outcome.unknown,
            )


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of an address like `10.0.0.1:7000`."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def _parse_listing(answer: dict[str, Any]) -> Listing:
    instances = tuple(_parse_instance(raw) for raw in answer['instances'])
    return Listing(int(answer['version']), instances)


def _parse_instance(raw: dict[str, Any]) -> ListedInstance:
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
