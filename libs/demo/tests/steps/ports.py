"""Steps of ports.feature."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

from behave import then, when

CHOOSE_PORTS = """
import sys
from gypsumrelay_demo import free_port
print(*(free_port() for _ in range(int(sys.argv[1]))), flush=True)
sys.stdin.read()
"""


@when('{count:d} processes choose {ports:d} ports each')
def choose_ports(context: Any, count: int, ports: int) -> None:
    processes = [
        subprocess.Popen(  # noqa: S603 - fixed command line
            [sys.executable, '-c', CHOOSE_PORTS, str(ports)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(count)
    ]
    # Reservations last until a process ends, so all must choose before that.
    lines = [process.stdout.readline() for process in processes]
    for process in processes:
        process.communicate()
    context.ports = [int(port) for line in lines for port in line.split()]
    assert len(context.ports) == count * ports


@then('no port was chosen more than once')
def check_ports(context: Any) -> None:
    duplicates = len(context.ports) - len(set(context.ports))
    assert not duplicates, f'{duplicates} ports were chosen more than once'
