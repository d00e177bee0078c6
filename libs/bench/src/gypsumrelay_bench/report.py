"""Table, targets and plots of a measurement."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from matplotlib.figure import Figure

from gypsumrelay_bench.figures import TITLES, Figures, spread

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

OWN: Final = 'gypsumrelay'
GOODPUT_FACTOR: Final = 1.3
WASTE_FACTOR: Final = 0.5
WORST_SHARE: Final = 0.9
PLOTTED: Final = ('goodput', 'wasted', 'worst', 'refused_room')

Measured = dict[str, list[Figures]]


def table(measured: Measured) -> str:
    """Return a Markdown table of policy by measure with the spread."""
    policies = list(measured)
    lines = [
        f'| measure | {" | ".join(policies)} |',
        f'| --- |{" ---: |" * len(policies)}',
    ]
    for name, title in TITLES.items():
        cells = [
            _cell([run[name] for run in measured[policy]])
            for policy in policies
        ]
        lines.append(f'| {title} | {" | ".join(cells)} |')
    return '\n'.join(lines)


def targets(measured: Measured) -> list[str]:
    """Return a line for each target, reached or not."""
    own = _means(measured[OWN])
    others = [_means(runs) for name, runs in measured.items() if name != OWN]
    found = [
        _line('in-rate worst served / mean', own['worst'], WORST_SHARE),
        _most('in-rate requests refused with capacity', own['refused_room'], 0),
        _most('accepted requests lost, zone out', own['lost_out'], 0),
    ]
    if others:
        best = max(other['goodput'] for other in others)
        least = min(other['wasted'] for other in others)
        ratio = own['goodput'] / best if best else 0
        found.insert(
            0,
            _line('goodput / best baseline', ratio, GOODPUT_FACTOR),
        )
        limit = least * WASTE_FACTOR
        title = 'wasted prefill against half of the least baseline'
        found.insert(1, _most(title, own['wasted'], limit))
    return found


def plot(measured: Mapping[str, list[Figures]], path: Path) -> None:
    """Draw the main figures of all policies with their spread."""
    canvas = Figure(figsize=(14, 4))
    axes = canvas.subplots(1, len(PLOTTED))
    for axis, name in zip(axes, PLOTTED, strict=True):
        found = [
            spread([run[name] for run in runs]) for runs in measured.values()
        ]
        means = [mean for mean, _, _ in found]
        below = [mean - low for mean, low, _ in found]
        above = [high - mean for mean, _, high in found]
        axis.bar(list(measured), means, yerr=(below, above), capsize=3)
        axis.set_title(TITLES[name])
        axis.tick_params(axis='x', rotation=60)
    canvas.tight_layout()
    canvas.savefig(path)


def _cell(numbers: list[float]) -> str:
    mean, low, high = spread(numbers)
    return f'{_short(mean)} ({_short(low)} to {_short(high)})'


def _short(number: float) -> str:
    return f'{number:,.0f}' if abs(number) >= 100 else f'{number:.2f}'


def _means(runs: list[Figures]) -> Figures:
    return {name: spread([run[name] for run in runs])[0] for name in TITLES}


def _line(title: str, number: float, wanted: float) -> str:
    verdict = 'reached' if number >= wanted else 'not reached'
    return f'{title}: {number:.2f}, wanted at least {wanted:.2f}: {verdict}'


def _most(title: str, number: float, wanted: float) -> str:
    verdict = 'reached' if number <= wanted else 'not reached'
    return (
        f'{title}: {_short(number)}, wanted at most {_short(wanted)}: {verdict}'
    )
