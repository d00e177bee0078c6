"""Description of a running system for external programs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gypsumrelay_demo.system import Node, System


def describe(system: System) -> dict[str, Any]:
    """Return the content of `build/demo.json` for a running system."""
    return {
        'entries': [
            _describe_node(node, url=node.url, admin_url=node.admin_url)
            for node in system.entries.values()
        ],
        'agents': [
            _describe_node(
                node,
                admin_url=node.admin_url,
                upstream=node.listed['labels']['upstream'],
            )
            for node in system.agents.values()
        ],
        'upstreams': [
            _describe_node(
                system.upstreams[place.name],
                kind=place.kind,
                url=system.upstreams[place.name].url,
                record_url=f'{system.upstreams[place.name].url}/record',
            )
            for place in system.deployment.upstreams
        ],
        'platform': [
            {'name': name, 'pid': node.process.pid, 'url': node.url}
            for name, node in system.platform.items()
        ],
        'client_accounts': _describe_accounts(system),
        'models': [
            model.name for model in system.deployment.configuration.models
        ],
        'routes': [
            {
                'method': route.method,
                'path': route.path,
                'idempotent': route.idempotent,
                'open': route.open,
            }
            for route in system.deployment.configuration.routes
        ],
        'operator_settings': str(system.write_operator_settings()),
    }


def _describe_accounts(system: System) -> list[dict[str, Any]]:
    """Return the client accounts with their keys and limits."""
    return [
        {
            'name': contract.client_account,
            'key': system.keys[contract.client_account].secret,
            'key_id': system.keys[contract.client_account].key_id,
            'tokens_per_second': contract.tokens_per_second,
            'burst_tokens': contract.burst_tokens,
        }
        for contract in system.deployment.contracts
    ]


def _describe_node(node: Node, **fields: Any) -> dict[str, Any]:
    return {
        'name': node.process.name,
        'pid': node.process.pid,
        **fields,
        'availability_zone': node.availability_zone,
    }
