"""`make measure`: policies under load, against the real processes."""

from __future__ import annotations

import argparse
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any, Final

from gypsumrelay_demo import Deployment, read_deployment

from gypsumrelay_bench.figures import Figures, codes, figures
from gypsumrelay_bench.report import plot, table, targets
from gypsumrelay_bench.scenario import Plan, measure

BUILD: Final = Path('build')
POLICIES: Final = (
    'gypsumrelay',
    'round_robin',
    'least_outstanding',
    'prefix_affinity',
    'static_split',
)
DEPLOYMENTS: Final = ('examples/lagos.json', 'examples/mauritius.json')


def main() -> int:
    """Measure every policy with every seed and write the report."""
    parser = argparse.ArgumentParser(prog='gypsumrelay-measure')
    parser.add_argument('--seeds', type=_numbers, default=[1, 2, 3])
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--offered', type=float, default=1.2)
    parser.add_argument('--deployments', type=_names, default=DEPLOYMENTS)
    parser.add_argument('--policies', type=_names, default=POLICIES)
    parser.add_argument('--routing', type=json.loads, default={})
    parser.add_argument('--report', type=Path, default=BUILD / 'measure.md')
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, _interrupt)
    arguments.report.parent.mkdir(exist_ok=True)
    parts = [
        measure_deployment(read_deployment(Path(name)), arguments)
        for name in arguments.deployments
    ]
    arguments.report.write_text('\n\n'.join(parts) + '\n')
    print(f'The report is in {arguments.report}.')
    return 0


def measure_deployment(deployment: Deployment, arguments: Any) -> str:
    """Return the part of the report about one deployment."""
    measured: dict[str, list[Figures]] = {}
    for seed in arguments.seeds:
        for policy in arguments.policies:
            plan = Plan(
                policy,
                seed,
                arguments.seconds,
                arguments.offered,
                arguments.routing,
            )
            found = run_one(deployment, plan)
            measured.setdefault(policy, []).append(found)
    plot(measured, arguments.report.parent / f'measure-{deployment.name}.svg')
    reached = '\n'.join(f'* {line}' for line in targets(measured))
    heading = (
        f'## {deployment.name}, {time.strftime("%Y-%m-%d")}\n\n'
        f'Seeds {arguments.seeds}, {arguments.seconds:g} s per run, offered '
        f'load {arguments.offered:.0%} of capacity. Mean (least to most).'
    )
    return f'{heading}\n\n{table(measured)}\n\n{reached}'


def run_one(deployment: Deployment, plan: Plan) -> Figures:
    """Measure one policy with one seed and print its main figures."""
    result = measure(deployment, plan)
    found = figures(result)
    print(
        f'{deployment.name} {plan.policy} seed {plan.seed}:',
        json.dumps({name: round(number, 2) for name, number in found.items()}),
        dict(codes(result)),
        flush=True,
    )
    return found


def _numbers(text: str) -> list[int]:
    return [int(number) for number in text.split(',')]


def _names(text: str) -> tuple[str, ...]:
    return tuple(text.split(','))


def _interrupt(signal_number: int, frame: object) -> None:
    raise KeyboardInterrupt


if __name__ == '__main__':
    sys.exit(main())
