"""Rate and burst of the shares of a contract."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumrelay_buckets import BucketSize

if TYPE_CHECKING:
    from gypsumrelay_configuration import Contract


def share_size(contract: Contract, shares: int, number: int) -> BucketSize:
    """Return the rate and burst of one share of a contract.

    Bursts are split into whole tokens, since grants are whole tokens: two
    shares of 2.5 tokens could never grant a request for a burst of 5.
    """
    whole, rest = divmod(contract.burst_tokens, shares)
    burst = whole + int(number < rest)
    return BucketSize(contract.tokens_per_second / shares, burst)
