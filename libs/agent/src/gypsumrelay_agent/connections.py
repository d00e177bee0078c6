"""HTTP connections to the upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumrelay_http.checked_pool import new_checked_pool

if TYPE_CHECKING:
    import urllib3


def new_pool(connections: int) -> urllib3.PoolManager:
    """Return a connection pool without retries, which the router decides on."""
    return new_checked_pool(maxsize=connections)
