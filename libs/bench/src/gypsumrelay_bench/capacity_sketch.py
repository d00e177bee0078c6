"""Weighted sketches against sets of digests for prefixes that caches share.

Run with `python -m gypsumrelay_bench.capacity_sketch`. The sketch keeps,
for each register, the largest of `-log2(e / weight)` over its elements,
where `e` is an exponential variate from the element's hash. Two sketches
merge by the register-wise maximum, and the sum of the weights follows from
the registers. The shared weight is that of both less that of the union.
"""

from __future__ import annotations

import hashlib
import math
import random
import statistics
from collections.abc import Callable, Iterable, Mapping
from typing import Final

REGISTERS: Final = 256
# Steps for each power of two. One byte for each register then covers 16
# powers of two, more than the largest of some hundred values spreads over.
STEPS: Final = 16
TRIALS: Final = 40
WORD_BYTES: Final = 4
HASH_WORDS: Final = 16
BLOCK_TOKENS: Final = 2000
SEED: Final = 5
# Without an element a register is far below any value of a real weight.
EMPTY: Final = -64.0

Weights = Mapping[bytes, float]
Sketch = tuple[float, ...]


def sketch_of(weights: Weights) -> Sketch:
    """Return the registers of a set of weighted digests."""
    registers = [EMPTY for _ in range(REGISTERS)]
    for digest, weight in weights.items():
        for place, uniform in enumerate(_uniforms(digest)):
            level = math.log2(weight / -math.log(uniform))
            registers[place] = max(registers[place], level)
    return tuple(round(level * STEPS) / STEPS for level in registers)


def merge(one: Sketch, other: Sketch) -> Sketch:
    """Return the sketch of the union."""
    return tuple(map(max, one, other))


def weight_of(sketch: Sketch) -> float:
    """Return the estimated sum of the weights."""
    minima = math.fsum(2**-level for level in sketch)
    return (REGISTERS - 1) / minima


def shared_by_sketch(one: Weights, other: Weights) -> float:
    """Return the estimated weight of the digests in both sets."""
    left = sketch_of(one)
    right = sketch_of(other)
    both = weight_of(left) + weight_of(right)
    return max(0, both - weight_of(merge(left, right)))


def shared_by_digests(size: int) -> Callable[[Weights, Weights], float]:
    """Return the estimator that compares digests cut to some bytes."""

    def estimate(one: Weights, other: Weights) -> float:
        known = {digest[:size] for digest in other}
        return math.fsum(
            weight for digest, weight in one.items() if digest[:size] in known
        )

    return estimate


def draw_caches(
    rng: random.Random,
    size: int,
    part: float,
) -> tuple[Weights, Weights, float]:
    """Return two caches, and the weight of the part that they share.

    The weight of a block is its tokens times its number of reuses, which
    is skewed as popular prompts are.
    """
    shared = _draw_blocks(rng, round(size * part))
    one = _draw_blocks(rng, size - len(shared)) | shared
    other = _draw_blocks(rng, size - len(shared)) | shared
    return one, other, math.fsum(shared.values())


def error_of(
    estimate: Callable[[Weights, Weights], float],
    size: int,
    part: float,
) -> float:
    """Return the root mean square error as a part of the shared weight."""
    rng = random.Random(SEED)  # noqa: S311 - repeatable, not secret
    squares = []
    for _ in range(TRIALS):
        one, other, truth = draw_caches(rng, size, part)
        squares.append((estimate(one, other) / truth - 1) ** 2)
    return math.sqrt(statistics.fmean(squares))


def main() -> None:
    """Print error and bytes of each way."""
    print('digests, shared, way, bytes, error')
    for size in (200, 1000):
        for part in (0.05, 0.2, 0.5, 0.9):
            ways: Iterable[tuple[str, int, Callable[..., float]]] = (
                ('sketch', REGISTERS, shared_by_sketch),
                ('8-byte digests', 8 * size, shared_by_digests(8)),
                ('4-byte digests', 4 * size, shared_by_digests(4)),
                ('2-byte digests', 2 * size, shared_by_digests(2)),
            )
            for name, cost, estimate in ways:
                error = error_of(estimate, size, part)
                print(f'{size}, {part:.0%}, {name}, {cost}, {error:.2%}')


def _uniforms(digest: bytes) -> Iterable[float]:
    top = 2 ** (8 * WORD_BYTES)
    for number in range(REGISTERS // HASH_WORDS):
        mixed = hashlib.blake2b(digest, salt=number.to_bytes(16, 'big'))
        raw = mixed.digest()
        for start in range(0, len(raw), WORD_BYTES):
            word = int.from_bytes(raw[start : start + WORD_BYTES], 'big')
            yield (word + 0.5) / top


def _draw_blocks(rng: random.Random, count: int) -> dict[bytes, float]:
    return {
        rng.randbytes(8): BLOCK_TOKENS * rng.paretovariate(1.5)
        for _ in range(count)
    }


if __name__ == '__main__':
    main()
