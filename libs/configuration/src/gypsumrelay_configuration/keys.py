"""API keys and their digests; only the digest of a key is stored."""

from __future__ import annotations

import hashlib
import secrets
from typing import Final

KEY_BYTES: Final = 24
KEY_PREFIX: Final = 'gr-'


def new_secret() -> str:
    """Return a new random API key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_of_key(secret: str) -> str:
    """Return the digest that is stored in place of an API key.

    SHA-256 without salt or stretching is enough, because keys are random
    and long.
    """
    return hashlib.sha256(secret.encode('utf-8', 'replace')).hexdigest()
