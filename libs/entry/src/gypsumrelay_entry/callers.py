"""Authentication of callers by API key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import attrs
from gypsumrelay_clock import monotonic
from gypsumrelay_configuration import (
    Contract,
    digest_of_key,
    find_key,
)
from gypsumrelay_errors import (
    ConfigurationStale,
    Failure,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
)

if TYPE_CHECKING:
    from gypsumrelay_instance import ConfigurationReplica
    from gypsumrelay_settings import EvidenceSettings

SCHEME: Final = 'bearer'
RETRY_SECONDS: Final = 1.0


@attrs.frozen
class Caller:
    """The sender of an authenticated request.

    Attributes:
        key_digest: Digest of the API key.
        contract: Contract of the key's client account.
    """

    key_digest: str
    contract: Contract


def authenticate(
    environ: dict[str, Any],
    replica: ConfigurationReplica,
    evidence: EvidenceSettings,
) -> Caller | Failure:
    """Return the caller that a request's API key identifies, or a failure.

    Args:
        environ: WSGI environment of the request.
        replica: Replica of the configuration.
        evidence: Settings that limit the age of the configuration, so that
            a withdrawn key is not accepted for longer.
    """
    scheme, _, secret = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    if scheme.lower() != SCHEME or not secret.strip():
        return KeyMissing('the request carries no bearer key')
    now = monotonic()
    if now - replica.confirmed_at > evidence.key_staleness_seconds:
        return ConfigurationStale(
            'this instance cannot confirm that the key is still valid',
            retry_at=now + RETRY_SECONDS,
        )
    digest = digest_of_key(secret.strip())
    key_failure = check_key(digest, replica)
    if key_failure is not None:
        return key_failure
    key = find_key(replica.state, digest)
    contract = replica.state.contracts.get(key.client_account) if key else None
    if contract is None:
        return KeyUnknown('no contract lists this key')
    return Caller(digest, contract)


def check_key(digest: str, replica: ConfigurationReplica) -> Failure | None:
    """Return a failure if a key is unknown or withdrawn, else None."""
    key = find_key(replica.state, digest)
    if key is None:
        return KeyUnknown('no contract lists this key')
    if key.withdrawn:
        return KeyWithdrawn('the key was withdrawn')
    return None
