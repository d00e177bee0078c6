"""Builds the zipapp of the released packages and their dependencies."""

from __future__ import annotations

import compileall
import py_compile
import shutil
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = ROOT / 'build'
WHEELS = BUILD / 'wheels'
REQUIREMENTS = ROOT / 'requirements' / 'runtime.txt'
# Test doubles, the demo and the benchmarks are not part of a release.
EXCLUDED = ('standins', 'demo', 'bench')
MAIN = """import sys

from gypsumrelay_command import main

sys.exit(main())
"""
PIP_OPTIONS = (
    '--quiet',
    '--disable-pip-version-check',
    '--require-hashes',
    '--no-deps',
)
INTERPRETER = '/usr/bin/env python3.11'


def fetch_wheels() -> None:
    """Download the locked wheels unless the folder is up to date.

    The wheels are pure Python or fall back to Python code, since Python
    loads no compiled module from inside an archive.
    """
    lock = WHEELS / 'runtime.txt'
    if lock.exists() and lock.read_bytes() == REQUIREMENTS.read_bytes():
        return
    shutil.rmtree(WHEELS, ignore_errors=True)
    WHEELS.mkdir(parents=True)
    run_pip('download', '--dest', str(WHEELS))
    lock.write_bytes(REQUIREMENTS.read_bytes())


def run_pip(command: str, *options: str) -> None:
    """Run a pip command on the locked requirements."""
    arguments = [sys.executable, '-m', 'pip', command, *PIP_OPTIONS]
    arguments.extend((*options, '-r', str(REQUIREMENTS)))
    subprocess.run(arguments, check=True)  # noqa: S603 - fixed command line


def released_packages() -> list[Path]:
    """Return the paths of the packages that the binary includes."""
    packages = sorted(ROOT.glob('libs/*/src/gypsumrelay_*'))
    return [
        package
        for package in packages
        if package.parent.parent.name not in EXCLUDED
    ]


def install_packages(folder: Path) -> None:
    """Install dependencies and packages into a folder and compile them."""
    offline = ('--no-index', '--find-links', str(WHEELS))
    run_pip('install', *offline, '--no-compile', '--target', str(folder))
    shutil.rmtree(folder / 'bin', ignore_errors=True)
    for compiled in folder.rglob('*.so'):
        compiled.unlink()
    ignored = shutil.ignore_patterns('__pycache__')
    for package in released_packages():
        shutil.copytree(package, folder / package.name, ignore=ignored)
    (folder / '__main__.py').write_text(MAIN)
    # Without compiled files, each start compiles every imported module.
    compileall.compile_dir(
        folder,
        quiet=1,
        legacy=True,
        stripdir=str(folder),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def main() -> int:
    """Build the binary and print its size."""
    fetch_wheels()
    target = BUILD / 'gypsumrelay'
    with tempfile.TemporaryDirectory(dir=BUILD) as scratch:
        folder = Path(scratch) / 'content'
        folder.mkdir()
        install_packages(folder)
        partial_archive = Path(scratch) / 'gypsumrelay'
        zipapp.create_archive(
            folder,
            partial_archive,
            interpreter=INTERPRETER,
            compressed=True,
        )
        partial_archive.replace(target)
    print(f'{target.relative_to(ROOT)}: {target.stat().st_size} bytes')
    return 0


if __name__ == '__main__':
    sys.exit(main())
