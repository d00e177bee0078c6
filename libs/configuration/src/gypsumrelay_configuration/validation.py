"""Checks documents before they are published, with all faults at once.

Only the publisher checks ranges and references. The reducer does not, since
readers of two releases with different ranges would come to different states.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final

import cattrs
from gypsumrelay_settings import SettingsFault, SettingsFaults, check

from gypsumrelay_configuration.documents import (
    Configuration,
    Contract,
    Model,
    Route,
)
from gypsumrelay_configuration.snapshots import RECORD_LIMIT_BYTES

FOUND_LIMIT: Final = 60
# What a record needs besides its document.
RECORD_OVERHEAD_BYTES: Final = 4096
DOCUMENT_LIMIT_BYTES: Final = RECORD_LIMIT_BYTES - RECORD_OVERHEAD_BYTES
METHODS: Final = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}')
_MODEL_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}')
_PATH: Final = re.compile('(?:/[!-.0-~]*)+')
_NAME_RULE: Final = 'up to 128 letters, digits and ._:@+-'
_CONVERTER: Final = cattrs.Converter()


def check_configuration(raw: object) -> Configuration | SettingsFaults:
    """Return the configuration in JSON data, or all its faults."""
    faults = check(raw, Configuration, '$') or _size_faults(raw, '$')
    if faults:
        return SettingsFaults(tuple(faults))
    configuration = _CONVERTER.structure(raw, Configuration)
    faults = [
        *_element_faults(configuration.models, '$.models', _model_faults),
        *_element_faults(configuration.routes, '$.routes', _route_faults),
        *_doubled('$.models', [model.name for model in configuration.models]),
        *_doubled('$.routes', [route.name for route in configuration.routes]),
        *_doubled(
            '$.routes',
            [f'{route.method} {route.path}' for route in configuration.routes],
        ),
    ]
    return SettingsFaults(tuple(faults)) if faults else configuration


def check_contracts(
    raw: object,
    configuration: Configuration | None,
) -> tuple[Contract, ...] | SettingsFaults:
    """Return the contracts in an array, or all their faults.

    References are checked where the configuration is known.
    """
    if not isinstance(raw, list):
        fault = SettingsFault('$', _shown(raw), 'an array of contracts')
        return SettingsFaults((fault,))
    faults: list[SettingsFault] = []
    contracts: list[Contract] = []
    for index, element in enumerate(raw):
        found = _check_contract(element, configuration, f'$[{index}]')
        if isinstance(found, Contract):
            contracts.append(found)
        else:
            faults.extend(found)
    names = [contract.client_account for contract in contracts]
    faults.extend(_doubled('$', names))
    return SettingsFaults(tuple(faults)) if faults else tuple(contracts)


def check_references(
    configuration: Configuration,
    contracts: Iterable[Contract],
) -> list[SettingsFault]:
    """Return what contracts refer to and a configuration lacks."""
    counted = Counter(
        reference
        for contract in contracts
        for reference in _unknown(contract, configuration)
    )
    return [
        SettingsFault(
            f'$.{path}',
            f'no {json.dumps(name)}',
            f'{count} contracts refer to it',
        )
        for (path, name), count in sorted(counted.items())
    ]


def _check_contract(
    raw: object,
    configuration: Configuration | None,
    path: str,
) -> Contract | list[SettingsFault]:
    faults = check(raw, Contract, path) or _size_faults(raw, path)
    if faults:
        return faults
    contract = _CONVERTER.structure(raw, Contract)
    faults = [
        *_name_faults(contract.client_account, f'{path}.client_account'),
        *_doubled(f'{path}.models', contract.models),
        *_doubled(f'{path}.routes', contract.routes),
    ]
    if configuration is not None:
        faults.extend(
            SettingsFault(
                f'{path}.{member}',
                _shown(name),
                'a name in the published configuration',
            )
            for member, name in _unknown(contract, configuration)
        )
    return faults or contract


def _unknown(
    contract: Contract,
    configuration: Configuration,
) -> list[tuple[str, str]]:
    models = {model.name for model in configuration.models}
    routes = {route.name for route in configuration.routes}
    return [
        *(('models', name) for name in contract.models if name not in models),
        *(('routes', name) for name in contract.routes if name not in routes),
    ]


def _element_faults(
    elements: Sequence[Any],
    path: str,
    rule: Callable[[Any, str], list[SettingsFault]],
) -> list[SettingsFault]:
    return [
        fault
        for index, element in enumerate(elements)
        for fault in rule(element, f'{path}[{index}]')
    ]


def _model_faults(model: Model, path: str) -> list[SettingsFault]:
    faults = _name_faults(model.name, f'{path}.name', _MODEL_NAME)
    if model.output_tokens > model.context_tokens:
        limit = f'at most context_tokens, {model.context_tokens}'
        place = f'{path}.output_tokens'
        faults.append(SettingsFault(place, _shown(model.output_tokens), limit))
    return faults


def _route_faults(route: Route, path: str) -> list[SettingsFault]:
    faults = [
        *_name_faults(route.name, f'{path}.name'),
        *_name_faults(route.service, f'{path}.service'),
    ]
    if route.method not in METHODS:
        allowed = f'one of {", ".join(METHODS)}'
        place = f'{path}.method'
        faults.append(SettingsFault(place, _shown(route.method), allowed))
    if not _PATH.fullmatch(route.path):
        place = f'{path}.path'
        faults.append(
            SettingsFault(place, _shown(route.path), 'a path like /booking'),
        )
    return faults


def _name_faults(
    name: str,
    path: str,
    pattern: re.Pattern[str] = _NAME,
) -> list[SettingsFault]:
    if pattern.fullmatch(name):
        return []
    return [SettingsFault(path, _shown(name), _NAME_RULE)]


def _doubled(path: str, names: Iterable[str]) -> list[SettingsFault]:
    counted = Counter(names)
    return [
        SettingsFault(path, f'{_shown(name)} {count} times', 'each name once')
        for name, count in counted.items()
        if count > 1
    ]


def _size_faults(raw: object, path: str) -> list[SettingsFault]:
    size = len(json.dumps(raw))
    if size <= DOCUMENT_LIMIT_BYTES:
        return []
    allowed = f'at most {DOCUMENT_LIMIT_BYTES} bytes'
    return [SettingsFault(path, f'{size} bytes', allowed)]


def _shown(found: object) -> str:
    return json.dumps(found)[:FOUND_LIMIT]
