"""Steps of ports.feature."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

from behave import then, when

CHOOSE = """
import sys
from gypsumrelay_demo import free_port
print(*(free_port() for _ in range(int(sys.argv[1]))), flush=True)
sys.stdin.read()
"""


@when('{count:d} processes choose {ports:d} ports each')
def choose_ports(context: Any, count: int, ports: int) -> None:
    choosers = [
        subprocess.Popen(  # noqa: S603 - fixed command line
            [sys.executable, '-c', CHOOSE, str(ports)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(count)
    ]
    # Reservations last until a process ends, so all must choose before that.
    lines = [chooser.stdout.readline() for chooser in choosers]
    for chooser in choosers:
        chooser.communicate()
    context.ports = [int(port) for line in lines for port in line.split()]
    assert len(context.ports) == count * ports


@then('no port was chosen more than once')
def check_ports(context: Any) -> None:
    twice = len(context.ports) - len(set(context.ports))
    assert not twice, f'{twice} ports were chosen more than once'
