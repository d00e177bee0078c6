"""Steps for the validation of configurations and contracts."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any, Final

from behave import then, when
from gypsumrelay_configuration import (
    Configuration,
    Contract,
    Model,
    Route,
    check_configuration,
    check_contracts,
    check_references,
)
from gypsumrelay_settings import SettingsFaults

ROUTE: Final = {
    'name': 'r',
    'method': 'GET',
    'path': '/booking',
    'service': 'booking',
}
CONFIGURATION: Final = {
    'models': [{'name': 'org/m:1', 'context_tokens': 1000, 'output_tokens': 9}],
    'routes': [ROUTE],
    'shares_per_account': 2,
}
CONTRACT: Final = {
    'client_account': 'kiosk',
    'tokens_per_second': 10,
    'burst_tokens': 20,
    'models': ['org/m:1'],
    'routes': ['r'],
}
PUBLISHED: Final = Configuration(
    (Model('org/m:1'),),
    (Route('r', 'GET', '/booking', 'booking'),),
)
Change = Callable[[Any], Any]
FAULTS: Final[dict[str, Change]] = {
    'no fault': lambda raw: raw,
    'a doubled model': lambda raw: raw | {'models': raw['models'] * 2},
    'a doubled route': lambda raw: raw | {'routes': [ROUTE, ROUTE]},
    'a bad method and path': lambda raw: (
        raw | {'routes': [ROUTE | {'method': 'get', 'path': 'booking'}]}
    ),
    'an unknown member': lambda raw: raw | {'colour': 'red'},
    'shares out of range': lambda raw: raw | {'shares_per_account': 0},
    'more output than context': lambda raw: (
        raw
        | {'models': [{'name': 'm', 'context_tokens': 1, 'output_tokens': 2}]}
    ),
    'numbers as text': lambda raw: (
        raw
        | {
            'models': [{'name': 'm', 'context_tokens': '1'}],
            'shares_per_account': True,
        }
    ),
    'a list instead of an object': lambda raw: [raw],
    '3000 routes': lambda raw: raw | {'routes': [ROUTE for _ in range(3000)]},
    'rates out of range': lambda raw: (
        raw | {'tokens_per_second': 0, 'burst_tokens': 10**11}
    ),
    'unknown references': lambda raw: raw | {'models': ['x'], 'routes': ['y']},
    'a missing name': lambda raw: {
        name: member for name, member in raw.items() if name != 'client_account'
    },
    'a name with a slash': lambda raw: raw | {'client_account': 'a/1'},
    'a model twice': lambda raw: raw | {'models': ['org/m:1', 'org/m:1']},
}


@when('a configuration is checked with {fault}')
def check_one_configuration(context: Any, fault: str) -> None:
    raw = FAULTS[fault](copy.deepcopy(CONFIGURATION))
    context.result = check_configuration(raw)
    context.kind = Configuration


@when('a contract is checked with its account twice')
def check_doubled_account(context: Any) -> None:
    context.result = check_contracts([CONTRACT, CONTRACT], PUBLISHED)


@when('a contract is checked with {fault}')
def check_one_contract(context: Any, fault: str) -> None:
    raw = FAULTS[fault](copy.deepcopy(CONTRACT))
    context.result = check_contracts([raw], PUBLISHED)
    context.kind = tuple


@then('the faults are at {paths}')
def check_paths(context: Any, paths: str) -> None:
    if paths == 'nothing':
        assert isinstance(context.result, context.kind), context.result
        return
    assert isinstance(context.result, SettingsFaults), context.result
    found = [fault.path for fault in context.result.faults]
    assert sorted(found) == sorted(paths.split()), context.result.faults
    for fault in context.result.faults:
        assert fault.found
        assert fault.allowed


@when('a configuration without the model of {count:d} contracts is checked')
def check_without_model(context: Any, count: int) -> None:
    contracts = [
        Contract(f'c{index}', 1, 1, ('org/m:1',), ('r',))
        for index in range(count)
    ]
    without = Configuration((), PUBLISHED.routes)
    context.faults = check_references(without, contracts)
    assert not check_references(PUBLISHED, contracts)


@then('one fault names the model and the {count:d} contracts')
def check_reference(context: Any, count: int) -> None:
    assert len(context.faults) == 1
    fault = context.faults[0]
    assert fault.path == '$.models'
    assert 'org/m:1' in fault.found
    assert str(count) in fault.allowed
