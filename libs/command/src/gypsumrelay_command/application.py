"""Definitions of the commands, their options and help texts."""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Final

import attrs
import cyclopts
from gypsumrelay_timeline import Query

from gypsumrelay_command import (
    changes,
    explanation,
    fleet,
    inspection,
    programs,
)
from gypsumrelay_command.main import VERSION
from gypsumrelay_command.results import INVALID, failure_result, print_result
from gypsumrelay_command.session import with_state

MS_PER_SECOND: Final = 1000
HELP: Final = """Router for language-model services.

Exit codes: 0 success, 1 rejected, 2 invalid input, 3 unknown outcome,
4 platform unreachable.
"""


@cyclopts.Parameter(name='*')
@attrs.frozen
class Options:
    """Options of all operator commands.

    Attributes:
        settings: The operator settings file.
        json: Print JSON instead of text.
    """

    settings: Path
    json: bool = False


@cyclopts.Parameter(name='*')
@attrs.frozen
class Selection:
    """Filter options of the timeline command.

    Attributes:
        request: Only events of this request.
        account: Only events of this client account.
        upstream: Only events of this upstream.
        since: Only events of this many seconds before now.
    """

    request: str = ''
    account: str = ''
    upstream: str = ''
    since: float | None = None

    def query(self) -> Query:
        """Return the query, with `since` relative to the current time."""
        begin_ms = 0
        if self.since is not None:
            begin_ms = int((time.time() - self.since) * MS_PER_SECOND)
        return Query(self.request, self.account, self.upstream, begin_ms)


@cyclopts.Parameter(name='*')
@attrs.frozen
class ExplainedRequest:
    """Options of the explain command that describe the request.

    Attributes:
        account: The client account.
        model: A service of the route; the one with the highest weight if empty.
        prompt: Length of the prompt in tokens; 0 for plain requests.
        output: Maximum number of generated tokens.
        expected: Expected number of generated tokens; 0 if not known.
    """

    account: str = ''
    model: str = ''
    prompt: int = 0
    output: int = 0
    expected: int = 0


Account = Annotated[str, cyclopts.Parameter(help='The client account.')]
JsonFile = Annotated[Path, cyclopts.Parameter(help='A JSON file.')]

app = cyclopts.App(name='gypsumrelay', help=HELP, version=VERSION)
config = cyclopts.App(name='config', help='Manage the configuration.')
contract = cyclopts.App(
    name='contract',
    help='Manage the contracts of client accounts.',
)
key = cyclopts.App(name='key', help='Manage the API keys of client accounts.')
app.command(config)
app.command(contract)
app.command(key)


@app.command
def entry(*, settings: Path) -> int:
    """Run an entry process.

    Example: gypsumrelay entry --settings entry.json
    """
    return programs.run_program('entry', settings)


@app.command
def agent(*, settings: Path) -> int:
    """Run an agent process.

    Example: gypsumrelay agent --settings agent.json
    """
    return programs.run_program('agent', settings)


@app.command
def check(path: JsonFile, *, json: bool = False) -> int:
    """Validate a file of settings, a configuration or contracts.

    Example: gypsumrelay check configuration.json
    """
    return print_result(inspection.check_file(path), json)


@config.command(name='publish')
def config_publish(
    path: JsonFile,
    *,
    options: Options,
    based_on: int | None = None,
    force: bool = False,
) -> int:
    """Publish a configuration if its base version is the current one.

    Example: gypsumrelay config publish new.json --settings operator.json

    Args:
        path: The configuration file.
        options: Options of all operator commands.
        based_on: The version that the change is based on.
        force: Publish even if contracts refer to models or routes that the
            configuration does not define.
    """
    operation = changes.publish_configuration(path, based_on, force)
    return print_result(with_state(options.settings, operation), options.json)


@config.command(name='show')
def config_show(*, options: Options) -> int:
    """Show the published configuration.

    Example: gypsumrelay config show --settings operator.json > current.json
    """
    operation = inspection.show_configuration
    return print_result(with_state(options.settings, operation), options.json)


@config.command(name='history')
def config_history(*, options: Options) -> int:
    """Show the changes retained in the log, with their outcomes.

    Example: gypsumrelay config history --settings operator.json
    """
    return print_result(inspection.show_history(options.settings), options.json)


@config.command(name='diff')
def config_diff(older: int, newer: int, *, options: Options) -> int:
    """Show the differences between two versions of the configuration.

    Example: gypsumrelay config diff 3 4 --settings operator.json
    """
    result = inspection.show_diff(options.settings, older, newer)
    return print_result(result, options.json)


@contract.command(name='put')
def contract_put(path: JsonFile, *, options: Options) -> int:
    """Create or replace one contract or an array of contracts from a file.

    Example: gypsumrelay contract put kiosk.json --settings operator.json
    """
    operation = changes.put_contracts(path)
    return print_result(with_state(options.settings, operation), options.json)


@contract.command(name='list')
def contract_list(*, options: Options) -> int:
    """List all contracts.

    Example: gypsumrelay contract list --settings operator.json
    """
    operation = inspection.list_contracts
    return print_result(with_state(options.settings, operation), options.json)


@contract.command(name='remove')
def contract_remove(account: Account, *, options: Options) -> int:
    """Remove a contract and revoke its keys permanently.

    Example: gypsumrelay contract remove kiosk --settings operator.json
    """
    operation = changes.remove_contract(account)
    return print_result(with_state(options.settings, operation), options.json)


@key.command(name='grant')
def key_grant(account: Account, *, options: Options, key_id: str = '') -> int:
    """Issue a new key; its secret is printed once and not stored.

    Example: gypsumrelay key grant kiosk --settings operator.json
    """
    operation = changes.grant_key(account, key_id)
    return print_result(with_state(options.settings, operation), options.json)


@key.command(name='withdraw')
def key_withdraw(key_id: str, *, options: Options) -> int:
    """Revoke a key permanently, even if its grant had an unknown outcome.

    Example: gypsumrelay key withdraw 1f0e33 --settings operator.json
    """
    operation = changes.withdraw_key(key_id)
    return print_result(with_state(options.settings, operation), options.json)


@key.command(name='list')
def key_list(account: str = '', *, options: Options) -> int:
    """List the keys of one account or of all accounts, without secrets.

    Example: gypsumrelay key list kiosk --settings operator.json
    """
    operation = inspection.list_keys(account)
    return print_result(with_state(options.settings, operation), options.json)


@app.command
def drain(
    subject: str,
    name: str,
    *,
    options: Options,
    undo: bool = False,
) -> int:
    """Drain a zone, instance or upstream, or end its drain.

    Example: gypsumrelay drain zone lekki --settings operator.json
    """
    operation = changes.set_drain(subject, name, undo)
    return print_result(with_state(options.settings, operation), options.json)


@app.command
def status(*, options: Options) -> int:
    """Show all listed instances and their lag behind the newest log offset.

    Example: gypsumrelay status --settings operator.json
    """
    return print_result(fleet.show_status(options.settings), options.json)


@app.command
def timeline(
    *,
    selection: Selection | None = None,
    settings: Path | None = None,
    logs: tuple[Path, ...] = (),
    json: bool = False,
    format: str = 'text',
    output: Path | None = None,
) -> int:
    """Show the merged events of all instances, or of their log files.

    Example: gypsumrelay timeline --since 60 --settings operator.json
    Example: gypsumrelay timeline --logs logs --request 3d9f1e4ffac18234

    Args:
        selection: Filter on the events.
        settings: The operator settings file; events are requested from all
            listed instances.
        logs: Log files, or directories of them, to read instead of
            requesting events from instances.
        json: Print JSON instead of text.
        format: Format of the timeline: text, json or html.
        output: Write the timeline to this file.
    """
    query = (selection or Selection()).query()
    if logs:
        result = fleet.show_logs(logs, query, format, output)
    elif settings is None:
        sentence = 'either --settings or --logs is required'
        result = failure_result(INVALID, 'timeline', sentence)
    else:
        result = fleet.show_timeline(settings, query, format, output)
    return print_result(result, json)


@app.command
def explain(
    *,
    relay: str,
    host: str,
    path: str,
    request: ExplainedRequest | None = None,
    json: bool = False,
) -> int:
    """Show where a request would go now and why, without sending it.

    Example: gypsumrelay explain --relay 10.0.0.1:9100 --host shop --path /v1

    Args:
        relay: Host and port of the coordinator's status page.
        host: Host header of the request.
        path: Path of the request.
        request: Further properties of the request.
        json: Print JSON instead of text.
    """
    query = {'host': host, 'path': path}
    query |= attrs.asdict(request or ExplainedRequest())
    return print_result(explanation.show_explanation(relay, query), json)


@app.command
def version() -> int:
    """Print the version."""
    print(VERSION)
    return 0


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    try:
        code = app(
            list(arguments),
            exit_on_error=False,
            result_action='return_value',
        )
    except cyclopts.CycloptsError:
        return INVALID
    return code if isinstance(code, int) else 0
