"""Reproducible open-loop load of one run."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, Final

import attrs

if TYPE_CHECKING:
    from gypsumrelay_configuration import Contract
    from gypsumrelay_demo import Deployment

# The engines' speeds. A full engine needs twice the idle time per token.
# Twenty-five milliseconds keep the load of the measuring machine's cores
# small beside the times measured.
ENGINE: Final[dict[str, Any]] = {
    'slots': 20,
    'pieces': 100,
    'piece_tokens': 2000,
    'prefill_us': 110,
    'token_ms': 25,
    'transfer_us': 2,
    'kv_seconds': 0.8,
    'cold_requests': 0,
}
FIRST_TOKEN_MS: Final = 1500
BETWEEN_TOKENS_MS: Final = 70
FULL_FACTOR: Final = 2
# Prompts share the prefixes of a family; all families together do not fit
# into the cache of one prefill engine.
FAMILIES: Final = 48
PREFIX_TOKENS: Final = 6000
LONG_SHARE: Final = 0.75
LONG_SUFFIX: Final = (300, 1500)
SHORT_PROMPT: Final = (20, 400)
OUTPUT_TOKENS: Final = (10, 45)
CANCEL_SHARE: Final = 0.04
CANCEL_SECONDS: Final = (0.05, 1.2)
# Share of the capacity that each account's contract has, and the multiple
# of its rate that it sends, by position in the deployment's list.
ACCOUNT_SHARES: Final = (0.42, 0.4, 0.18, 0.07, 0.12)
ACCOUNT_MULTIPLES: Final = (0.72, 0.7, 0.7, 2.5, 2)
BURST_SECONDS: Final = 5
BODY_WORDS: Final = 1000


@attrs.frozen
class Offered:
    """One request of the load.

    Attributes:
        at: Seconds after the start.
        entry: Number of the entry that the balancer chooses.
        cancel_after: Seconds until its caller gives up, 0 for never.
    """

    request_id: str
    account: str
    at: float
    entry: int
    prompt: str
    max_tokens: int
    cancel_after: float = 0

    @property
    def cost(self) -> int:
        """Return the tokens that the account is charged."""
        return len(self.prompt.split()) + self.max_tokens


def capacity(deployment: Deployment) -> float:
    """Return the requests per second that full decode engines complete."""
    engines = sum(place.kind == 'decode' for place in deployment.upstreams)
    seconds_per_token = ENGINE['token_ms'] * FULL_FACTOR / 1000
    held = _mean(OUTPUT_TOKENS) * seconds_per_token
    return float(engines * ENGINE['slots'] / held)


def mean_cost() -> float:
    """Return the mean tokens of a request."""
    long_prompt = PREFIX_TOKENS + _mean(LONG_SUFFIX)
    short_prompt = _mean(SHORT_PROMPT)
    prompt = LONG_SHARE * long_prompt + (1 - LONG_SHARE) * short_prompt
    return prompt + _mean(OUTPUT_TOKENS)


def scaled_contract(
    contract: Contract,
    position: int,
    tokens_per_second: float,
) -> Contract:
    """Return a contract over its share of what the deployment serves."""
    rate = int(ACCOUNT_SHARES[position] * tokens_per_second)
    return attrs.evolve(
        contract,
        tokens_per_second=rate,
        burst_tokens=rate * BURST_SECONDS,
        first_token_ms=FIRST_TOKEN_MS,
        between_tokens_ms=BETWEEN_TOKENS_MS,
    )


def make_load(
    deployment: Deployment,
    seed: int,
    seconds: float,
    offered: float,
) -> list[Offered]:
    """Return Poisson arrivals; the same seed gives the same load."""
    rng = random.Random(seed)  # noqa: S311 - reproducible load
    families = [_words(rng, PREFIX_TOKENS) for _ in range(FAMILIES)]
    products = [
        share * multiple
        for share, multiple in zip(
            ACCOUNT_SHARES,
            ACCOUNT_MULTIPLES,
            strict=True,
        )
    ]
    rate = capacity(deployment) * offered
    accounts = [contract.client_account for contract in deployment.contracts]
    load: list[Offered] = []
    at = rng.expovariate(rate)
    while at < seconds:
        account = rng.choices(accounts, products)[0]
        load.append(
            Offered(
                f'{seed}-{len(load)}',
                account,
                at,
                rng.randrange(len(deployment.entries)),
                _prompt(rng, families, len(load)),
                rng.randint(*OUTPUT_TOKENS),
                _cancel_after(rng),
            ),
        )
        at += rng.expovariate(rate)
    return load


def _prompt(rng: random.Random, families: list[str], number: int) -> str:
    if rng.random() < LONG_SHARE:
        # A few families are asked for often, as with real system prompts.
        family = families[int(len(families) * rng.random() ** 2)]
        return f'{family} n{number} {_words(rng, rng.randint(*LONG_SUFFIX))}'
    return f'n{number} {_words(rng, rng.randint(*SHORT_PROMPT))}'


def _cancel_after(rng: random.Random) -> float:
    if rng.random() < CANCEL_SHARE:
        return rng.uniform(*CANCEL_SECONDS)
    return 0


def _words(rng: random.Random, count: int) -> str:
    return ' '.join(f'w{rng.randrange(BODY_WORDS)}' for _ in range(count))


def _mean(bounds: tuple[int, int]) -> float:
    return (bounds[0] + bounds[1]) / 2
