"""Choose the committers, and the committer of a key, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from gypsumrelay_claims.actions import ClaimKey

_SCORE_BYTES: Final = 8
_DEPLOYMENT: Final = 'committers of the deployment'


def choose_committers(agents: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the committers among the live service agents.

    If a committer leaves, one other agent replaces it and all others stay.
    """
    ranked = sorted(
        set(agents),
        key=lambda agent: _score(agent, _DEPLOYMENT),
        reverse=True,
    )
    return tuple(ranked[:count])


def committer_of(key: ClaimKey, committers: Sequence[str]) -> str | None:
    """Return the committer of a key, or None if there is no committer.

    Entries with different views may choose different committers. The order
    of the records in the log decides between their claims.
    """
    subject = '\n'.join(key)
    return max(
        committers,
        key=lambda committer: _score(committer, subject),
        default=None,
    )


def _score(agent: str, subject: str) -> tuple[bytes, str]:
    hashed = hashlib.blake2b(
        f'{agent}\n{subject}'.encode(),
        digest_size=_SCORE_BYTES,
    )
    return (hashed.digest(), agent)
