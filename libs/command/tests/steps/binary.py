"""Steps of binary.feature."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import zipfile
from pathlib import Path
from typing import Any, Final

from behave import given, then, when
from gypsumrelay_command import VERSION

ROOT: Final = Path(__file__).resolve().parents[4]
# The base interpreter, without the packages of the virtual environment.
PYTHON_PATH: Final = str(Path(sys.base_prefix) / 'bin' / 'python3.11')
BINARY_PATH: Final = ROOT / 'build' / 'gypsumrelay'
SHIPPED_PACKAGES: Final = frozenset(
    f'gypsumrelay_{path.name}'
    for path in (ROOT / 'libs').iterdir()
    if path.name not in {'standins', 'demo', 'bench'}
)
# The audit hook also reports writes and new processes of imported libraries.
AUDIT_PROGRAM: Final = """
import os, runpy, sys

def hook(event, found):
    started = ('subprocess.', 'os.fork', 'os.exec', 'os.posix_spawn')
    if event.startswith((*started, 'os.system', 'os.mkdir')):
        os.write(1, f'FORBIDDEN {event} {found}'.encode())
    if event == 'open' and found[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
        os.write(1, f'FORBIDDEN {event} {found}'.encode())

sys.addaudithook(hook)
sys.argv = [sys.argv[1], *sys.argv[2:]]
runpy.run_path(sys.argv[0], run_name='__main__')
"""


@given('the built binary')
def build_binary(context: Any) -> None:
    if not hasattr(context.feature, 'built'):
        command = [sys.executable, str(ROOT / 'tools' / 'build_binary.py')]
        subprocess.run(command, check=True, capture_output=True)  # noqa: S603
        context.feature.built = True


def run_isolated(*arguments: str) -> subprocess.CompletedProcess[str]:
    # In isolated mode Python ignores environment variables and user packages.
    with tempfile.TemporaryDirectory() as empty:
        finished = subprocess.run(  # noqa: S603 - fixed command line
            [PYTHON_PATH, '-I', '-S', '-B', *arguments],
            cwd=empty,
            env={'PATH': os.environ['PATH'], 'HOME': empty, 'TMPDIR': empty},
            capture_output=True,
            text=True,
            check=False,
        )
        assert not list(Path(empty).iterdir())
    return finished


@when('the binary runs "{command}" without installed packages')
def run_binary(context: Any, command: str) -> None:
    context.finished = run_isolated(str(BINARY_PATH), *command.split())


@then('it prints the version and exits with 0')
def check_version(context: Any) -> None:
    assert context.finished.returncode == 0, context.finished
    assert context.finished.stdout.strip() == VERSION


@then('it exits with 2 and names the file')
def check_file_named(context: Any) -> None:
    assert context.finished.returncode == 2, context.finished
    assert 'missing: $: found' in context.finished.stderr


def archived_names() -> set[str]:
    with zipfile.ZipFile(BINARY_PATH) as archive:
        return set(archive.namelist())


@then('it contains the packages of the system and the locked dependencies')
def check_packages(context: Any) -> None:
    folders = {name.split('/')[0] for name in archived_names()}
    assert folders >= SHIPPED_PACKAGES, SHIPPED_PACKAGES - folders
    locked = [
        line.split('==')[0]
        for line in (ROOT / 'requirements/runtime.txt').read_text().split('\n')
        if '==' in line
    ]
    assert len(locked) > 9
    installed = {
        name.split('-')[0].replace('_', '-').lower()
        for name in folders
        if name.endswith('.dist-info')
    }
    assert installed == set(locked), installed ^ set(locked)


@then('it contains no simulator, demo, benchmark, test or shared library')
def check_no_unshipped_files(context: Any) -> None:
    own_files = {
        name for name in archived_names() if name.startswith('gypsumrelay_')
    }
    assert {name.split('/')[0] for name in own_files} == SHIPPED_PACKAGES
    for name in archived_names():
        assert not name.endswith(('.so', '.feature')), name


@then('"{command}" opens no file for writing and starts no process')
def check_audit(context: Any, command: str) -> None:
    finished = run_isolated(
        '-c',
        AUDIT_PROGRAM,
        str(BINARY_PATH),
        *command.split(),
    )
    assert finished.returncode == 2, finished
    assert 'missing: $: found' in finished.stderr
    assert 'FORBIDDEN' not in finished.stdout, finished.stdout
