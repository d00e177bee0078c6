"""Validation of documents before they are published.

Only the publisher checks ranges and references. The reducer does not, since
readers of two releases with different ranges would reduce different states.
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

EXCERPT_LENGTH: Final = 60
# Upper bound of the fields of a record other than its document.
RECORD_OVERHEAD_BYTES: Final = 4096
DOCUMENT_LIMIT_BYTES: Final = RECORD_LIMIT_BYTES - RECORD_OVERHEAD_BYTES
METHODS: Final = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}')
_MODEL_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}')
_PATH: Final = re.compile('(?:/[!-.0-~]*)+')
_NAME_RULE: Final = 'up to 128 letters, digits and ._:@+-'
_CONVERTER: Final = cattrs.Converter()
Elements = list[tuple[int, Any]]


def check_configuration(raw: object) -> Configuration | SettingsFaults:
    """Return the configuration in decoded JSON data, or all its faults."""
    models = _valid_elements(raw, 'models', Model)
    routes = _valid_elements(raw, 'routes', Route)
    paths = [f'{route.method} {route.path}' for _, route in routes]
    faults = [
        *check(raw, Configuration, '$'),
        *_size_faults(raw, '$'),
        *_element_faults(models, '$.models', _model_faults),
        *_element_faults(routes, '$.routes', _route_faults),
        *_duplicate_faults('$.models', [model.name for _, model in models]),
        *_duplicate_faults('$.routes', [route.name for _, route in routes]),
        *_duplicate_faults('$.routes', paths),
    ]
    if faults:
        return SettingsFaults(tuple(faults))
    return _CONVERTER.structure(raw, Configuration)


def check_contracts(
    raw: object,
    configuration: Configuration | None,
) -> tuple[Contract, ...] | SettingsFaults:
    """Return the contracts in decoded JSON data, or all their faults.

    Args:
        raw: An array of contracts.
        configuration: Configuration whose models and routes the contracts
            may name; None skips this check.
    """
    if not isinstance(raw, list):
        fault = SettingsFault('$', _excerpt(raw), 'an array of contracts')
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
    faults.extend(_duplicate_faults('$', names))
    return SettingsFaults(tuple(faults)) if faults else tuple(contracts)


def check_references(
    configuration: Configuration,
    contracts: Iterable[Contract],
) -> list[SettingsFault]:
    """Return one fault for each name that a configuration does not define.

    Args:
        configuration: Configuration to be published.
        contracts: Contracts in force.
    """
    counted = Counter(
        reference
        for contract in contracts
        for reference in _undefined_names(
            contract.models,
            contract.routes,
            configuration,
        )
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
    faults = [*check(raw, Contract, path), *_size_faults(raw, path)]
    models = _strings(raw, 'models')
    routes = _strings(raw, 'routes')
    for account in _strings(raw, 'client_account'):
        faults.extend(_name_faults(account, f'{path}.client_account'))
    faults.extend(_duplicate_faults(f'{path}.models', models))
    faults.extend(_duplicate_faults(f'{path}.routes', routes))
    if configuration is not None:
        faults.extend(
            SettingsFault(
                f'{path}.{member}',
                _excerpt(name),
                'a name in the published configuration',
            )
            for member, name in _undefined_names(models, routes, configuration)
        )
    return faults or _CONVERTER.structure(raw, Contract)


def _undefined_names(
    models: Sequence[str],
    routes: Sequence[str],
    configuration: Configuration,
) -> list[tuple[str, str]]:
    known_models = {model.name for model in configuration.models}
    known_routes = {route.name for route in configuration.routes}
    return [
        *(('models', name) for name in models if name not in known_models),
        *(('routes', name) for name in routes if name not in known_routes),
    ]


def _valid_elements(raw: Any, name: str, kind: type[Any]) -> Elements:
    """Return the well-formed elements of a member, with their index.

    Malformed elements are reported elsewhere and can't be checked further.
    """
    return [
        (index, _CONVERTER.structure(element, kind))
        for index, element in enumerate(_member_list(raw, name))
        if not check(element, kind, '$')
    ]


def _strings(raw: Any, name: str) -> list[str]:
    """Return the strings in a member that is a string or an array."""
    return [text for text in _member_list(raw, name) if isinstance(text, str)]


def _member_list(raw: Any, name: str) -> list[Any]:
    member = raw.get(name) if isinstance(raw, dict) else None
    return member if isinstance(member, list) else [member]


def _element_faults(
    elements: Elements,
    path: str,
    rule: Callable[[Any, str], list[SettingsFault]],
) -> list[SettingsFault]:
    return [
        fault
        for index, element in elements
        for fault in rule(element, f'{path}[{index}]')
    ]


def _model_faults(model: Model, path: str) -> list[SettingsFault]:
    faults = _name_faults(model.name, f'{path}.name', _MODEL_NAME)
    if model.output_tokens > model.context_tokens:
        limit = f'at most context_tokens, {model.context_tokens}'
        member_path = f'{path}.output_tokens'
        faults.append(
            SettingsFault(member_path, _excerpt(model.output_tokens), limit)
        )
    return faults


def _route_faults(route: Route, path: str) -> list[SettingsFault]:
    faults = [
        *_name_faults(route.name, f'{path}.name'),
        *_name_faults(route.service, f'{path}.service'),
    ]
    if route.method not in METHODS:
        allowed = f'one of {", ".join(METHODS)}'
        member_path = f'{path}.method'
        faults.append(
            SettingsFault(member_path, _excerpt(route.method), allowed)
        )
    if not _PATH.fullmatch(route.path):
        member_path = f'{path}.path'
        faults.append(
            SettingsFault(
                member_path, _excerpt(route.path), 'a path like /booking'
            ),
        )
    return faults


def _name_faults(
    name: str,
    path: str,
    pattern: re.Pattern[str] = _NAME,
) -> list[SettingsFault]:
    if pattern.fullmatch(name):
        return []
    return [SettingsFault(path, _excerpt(name), _NAME_RULE)]


def _duplicate_faults(path: str, names: Iterable[str]) -> list[SettingsFault]:
    counted = Counter(names)
    return [
        SettingsFault(path, f'{_excerpt(name)} {count} times', 'each name once')
        for name, count in counted.items()
        if count > 1
    ]


def _size_faults(raw: object, path: str) -> list[SettingsFault]:
    size = len(json.dumps(raw))
    if size <= DOCUMENT_LIMIT_BYTES:
        return []
    allowed = f'at most {DOCUMENT_LIMIT_BYTES} bytes'
    return [SettingsFault(path, f'{size} bytes', allowed)]


def _excerpt(found: object) -> str:
    return json.dumps(found)[:EXCERPT_LENGTH]
