"""Steps of commands.feature, with simulated platform services in threads."""

from __future__ import annotations

import contextlib
import io
import json
import shlex
import subprocess
import sys
import tempfile
import types
from pathlib import Path
from typing import Any, Final
from unittest import mock

from behave import given, then, when
from cattrs import structure
from gypsumrelay_command import main
from gypsumrelay_configuration import (
    Configuration,
    ConfigurationPublished,
    Contract,
    ContractPut,
    KeyGranted,
    State,
    digest_of_key,
    find_key,
    record_to_json,
)
from gypsumrelay_errors import PlatformUnavailable
from gypsumrelay_platform import LogClient, catch_up, publishing
from gypsumrelay_settings import EntrySettings
from gypsumrelay_standins import (
    InstanceList,
    LogService,
    Request,
    Response,
    start,
)
from gypsumrelay_timeline import Recorder, Ring, events_to_json

CONFIGURATION: Final = {'models': [{'name': 'model-a'}]}
CONTRACT: Final = {
    'client_account': 'kiosk',
    'tokens_per_second': 10,
    'burst_tokens': 20,
    'models': ['model-a'],
}
FILES: Final[dict[str, Any]] = {
    'configuration': CONFIGURATION,
    'contract': CONTRACT,
    'stranger': CONTRACT | {'models': ['model-x']},
    'empty': {'models': []},
    'faulty': {
        'shares_per_account': 2,
        'routes': [
            {'name': 'r', 'method': 'get', 'path': '/r', 'service': 's'},
        ],
    },
}
ENTRY_SETTINGS: Final = {
    'instance': {
        'name': 'entry-1',
        'availability_zone': 'lekki',
        'host': '127.0.0.1',
        'admin_port': 0,
    },
    'platform': {'log_url': 'http://127.0.0.1:1', 'list_url': ''},
    'shared_secret': 'secret',
    'caller': {'port': 0},
}
CURRENT_SERVICES: Final[dict[str, Any]] = {}
SERVICE_URLS: Final[dict[str, str]] = {}
UNREACHABLE_URL: Final = 'http://127.0.0.1:1'


@given('a log service, an instance list and operator settings')
def start_platform(context: Any) -> None:
    context.log = LogService()
    context.instances = InstanceList(lag_seconds=0)
    CURRENT_SERVICES['log_url'] = context.log
    CURRENT_SERVICES['list_url'] = context.instances
    context.urls = {name: shared_url(name) for name in CURRENT_SERVICES}
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    context.folder = Path(scratch.name)
    for name, content in FILES.items():
        (context.folder / name).write_text(json.dumps(content))
    # Validation must report both faults, not only the first one.
    faulty = FILES['faulty'] | {'shares_per_account': 99}
    (context.folder / 'faulty').write_text(json.dumps(faulty))
    write_settings(context)


def shared_url(name: str) -> str:
    """Return the URL of a server that all scenarios share.

    Starting the 64 threads of a server takes longer than a scenario.
    """
    if name not in SERVICE_URLS:
        server = start(lambda request: CURRENT_SERVICES[name].handle(request))
        SERVICE_URLS[name] = f'http://127.0.0.1:{server.effective_port}'
    return SERVICE_URLS[name]


def serve(context: Any, handler: Any) -> int:
    server = start(handler)
    context.add_cleanup(server.close)
    return int(server.effective_port)


def write_settings(context: Any) -> None:
    content = json.dumps({'platform': context.urls})
    (context.folder / 'settings').write_text(content)


@given(
    'the published configuration, the contract "{account}" '
    'and the key "{key_id}"',
)
def publish_all(context: Any, account: str, key_id: str) -> None:
    published = structure(CONFIGURATION, Configuration)
    records = (
        ConfigurationPublished('a', 0, published),
        ContractPut('b', 0, structure(CONTRACT, Contract)),
        KeyGranted('c', key_id, account, 'digest'),
    )
    context.log.append([record_to_json(record) for record in records])


@when('the operator runs "{command}"')
def run_command(context: Any, command: str) -> None:
    names = (*FILES, 'settings', 'missing', 'output')
    paths = {name: str(context.folder / name) for name in names}
    arguments = shlex.split(command.format(**paths))
    needs_settings = arguments[0] in {
        'config',
        'contract',
        'key',
        'drain',
        'status',
        'timeline',
    }
    if needs_settings and '--help' not in arguments:
        arguments.extend(('--settings', paths['settings']))
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        context.code = main(arguments)
    context.output = output.getvalue()


@then('the exit code is {code:d}')
def check_code(context: Any, code: int) -> None:
    assert context.code == code, (context.code, context.output)


@then('the output contains "{text}"')
def check_output(context: Any, text: str) -> None:
    assert text in ' '.join(context.output.split()), context.output


@given('the {service} out of reach')
def make_service_unreachable(context: Any, service: str) -> None:
    context.urls[f'{service}_url'] = UNREACHABLE_URL
    write_settings(context)


@given('appends without effect')
def drop_appends(context: Any) -> None:
    lost_response = Response({'error': 'lost'}, 500)
    patches = (
        mock.patch.object(LogService, 'append', lambda *_: lost_response),
        mock.patch.object(publishing, 'PUBLISH_SECONDS', 0.3),
    )
    for patch in patches:
        patch.start()
        context.add_cleanup(patch.stop)


@given('refused appends')
def reject_appends(context: Any) -> None:
    rejection = PlatformUnavailable('the platform service is out of reach')
    patch = mock.patch.object(LogClient, 'append', lambda *_: rejection)
    patch.start()
    context.add_cleanup(patch.stop)


@then('the printed secret works as a key of "{account}"')
def check_secret_valid(context: Any, account: str) -> None:
    context.secret = json.loads(context.output)['secret']
    state = State()
    client = LogClient(context.urls['log_url'])
    assert catch_up(client, state) is None
    found = find_key(state, digest_of_key(context.secret))
    assert found is not None
    assert found.client_account == account


@then('neither the log nor "key list" contains the secret')
def check_secret_absent(context: Any) -> None:
    assert context.secret not in json.dumps(context.log.records)
    run_command(context, 'key list --json')
    assert 'kiosk' in context.output
    assert context.secret not in context.output
    assert digest_of_key(context.secret) not in context.output


@given('instances at offsets {first:d} and {second:d} and two faulty ones')
def list_instances(context: Any, first: int, second: int) -> None:
    sender = Recorder('one', Ring(100), lambda: 1_700_000_002_000)
    receiver = Recorder('two', Ring(100), lambda: 1_700_000_000_000)
    receiver.record('test', 'other', request_id='r2')
    receiver.observe(sender.record('test', 'sent', request_id='r1').stamp)
    receiver.record('test', 'received', request_id='r1')
    add_instance(context, 'one', 'entry', make_admin_handler(first, sender))
    add_instance(context, 'two', 'agent', make_admin_handler(second, receiver))
    add_instance(context, 'three', 'entry', lambda _: Response({}, 500))
    add_instance(context, 'four', 'entry', lambda _: Response([{'a': 1}]))


def make_admin_handler(offset: int, recorder: Recorder) -> Any:
    def respond(request: Request) -> Response:
        if request.path == '/events':
            return Response(events_to_json(recorder.ring.snapshot()))
        return Response({'offset': offset})

    return respond


def add_instance(context: Any, name: str, role: str, handler: Any) -> None:
    port = serve(context, handler)
    context.instances.instances[name] = {
        'name': name,
        'incarnation': '1',
        'role': role,
        'address': '127.0.0.1:1',
        'admin_address': f'127.0.0.1:{port}',
        'availability_zone': 'lekki',
        'state': 'live',
    }


@then('the output has the events "{names}" in order')
def check_events(context: Any, names: str) -> None:
    lines = context.output.splitlines()
    shown = [line.split()[4] for line in lines if 'request=' in line]
    assert shown == names.split(), context.output


@then('the output file is a page with {count:d} lanes')
def check_html_page(context: Any, count: int) -> None:
    page = (context.folder / 'output').read_text()
    assert page.count('class="lane"') == count
    assert page.startswith('<!DOCTYPE html>')


@then('"entry" and "agent" run their program with loaded settings')
def check_programs(context: Any) -> None:
    path = context.folder / 'entry'
    path.write_text(json.dumps(ENTRY_SETTINGS))
    started: list[Any] = []
    program = types.SimpleNamespace(run=started.append)
    with mock.patch.dict(sys.modules, {'gypsumrelay_entry': program}):
        assert main(['entry', '--settings', str(path)]) == 0
    assert isinstance(started[0], EntrySettings), started
    # The agent rejects the settings of an entry and is not started.
    with mock.patch.dict(sys.modules, {'gypsumrelay_agent': program}):
        with contextlib.redirect_stderr(io.StringIO()) as output:
            assert main(['agent', '--settings', str(path)]) == 2
    assert '$.upstream' in output.getvalue()
    assert len(started) == 1


@then('neither "version" nor the programs import cyclopts')
def check_imports(context: Any) -> None:
    program = (
        'import sys\n'
        'from gypsumrelay_command import main\n'
        "main(['version'])\n"
        "main(['entry', '--settings', '/none'])\n"
        "sys.exit('cyclopts' in sys.modules)\n"
    )
    command = [sys.executable, '-c', program]
    finished = subprocess.run(  # noqa: S603 - fixed command line
        command,
        check=False,
        capture_output=True,
    )
    assert finished.returncode == 0, finished


@then('the reference pages match the doc comments of the classes')
def check_reference(context: Any) -> None:
    tool = Path(__file__).resolve().parents[4] / 'tools/write_reference.py'
    command = [sys.executable, str(tool), '--check']
    finished = subprocess.run(  # noqa: S603 - fixed command line
        command,
        check=False,
        capture_output=True,
        text=True,
    )
    assert finished.returncode == 0, finished.stdout
