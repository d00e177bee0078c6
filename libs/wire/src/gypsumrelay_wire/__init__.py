"""Messages and authenticated links between processes."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

from gypsumrelay_wire.base import (
    Heartbeat,
    Message,
)
from gypsumrelay_wire.codec import (
    decode,
    encode,
)
from gypsumrelay_wire.deadlines import (
    to_deadline,
    to_remaining_ms,
    to_retry_at,
    to_retry_ms,
)
from gypsumrelay_wire.frames import (
    FRAME_LIMIT_BYTES,
    FrameReader,
    FrameWriter,
    new_unpacker,
)
from gypsumrelay_wire.handshake import (
    Identity,
)
from gypsumrelay_wire.link import (
    Address,
    Endpoint,
    Link,
    Listener,
    dial,
    listen,
)
from gypsumrelay_wire.performance_reports import (
    PerformanceReported,
)
from gypsumrelay_wire.placements import (
    ContentQuarantined,
    LimitEnded,
    LimitStated,
    PlaceEnded,
    PlaceGranted,
    PlaceHeld,
    PlaceRefused,
    PlaceRequest,
    PromptRead,
    RecordsCopy,
    RecordsRequest,
    RepeatsUsed,
    RolloutUsed,
    SendsUsed,
    StreamsBegan,
    SubjectsCompleted,
    TokensUsed,
    UpstreamCrashed,
    UpstreamLeaving,
    UpstreamPaused,
)

if TYPE_CHECKING:
    from gypsumrelay_wire.messages import (
        AnswerBody,
        AnswerStart,
        Call,
        Cancel,
        Claim,
        Claimed,
        ClaimTaken,
        ConfigurationCopy,
        ConfigurationRequest,
        CrashReport,
        Decode,
        Failed,
        Finished,
        LoadReport,
        Prefill,
        Prefilled,
        ReleaseClaim,
        Reserve,
        Reserved,
        Resume,
        Settle,
        TokenGrant,
        TokenRefusal,
        TokenRequest,
        Tokens,
    )

__all__ = (
    'FRAME_LIMIT_BYTES',
    'Address',
    'AnswerBody',
    'AnswerStart',
    'Call',
    'Cancel',
    'Claim',
    'ClaimTaken',
    'Claimed',
    'ConfigurationCopy',
    'ConfigurationRequest',
    'ContentQuarantined',
    'CrashReport',
    'Decode',
    'Endpoint',
    'Failed',
    'Finished',
    'FrameReader',
    'FrameWriter',
    'Heartbeat',
    'Identity',
    'LimitEnded',
    'LimitStated',
    'Link',
    'Listener',
    'LoadReport',
    'Message',
    'PerformanceReported',
    'PlaceEnded',
    'PlaceGranted',
    'PlaceHeld',
    'PlaceRefused',
    'PlaceRequest',
    'Prefill',
    'Prefilled',
    'PromptRead',
    'RecordsCopy',
    'RecordsRequest',
    'ReleaseClaim',
    'RepeatsUsed',
    'Reserve',
    'Reserved',
    'Resume',
    'RolloutUsed',
    'SendsUsed',
    'Settle',
    'StreamsBegan',
    'SubjectsCompleted',
    'TokenGrant',
    'TokenRefusal',
    'TokenRequest',
    'Tokens',
    'TokensUsed',
    'UpstreamCrashed',
    'UpstreamLeaving',
    'UpstreamPaused',
    'decode',
    'dial',
    'encode',
    'listen',
    'new_unpacker',
    'to_deadline',
    'to_remaining_ms',
    'to_retry_at',
    'to_retry_ms',
)

if not TYPE_CHECKING:

    def __getattr__(name: str) -> Any:
        """Import a message of entries and agents when it is first used."""
        if name in __all__:
            module = importlib.import_module('gypsumrelay_wire.messages')
            return getattr(module, name)
        raise AttributeError(name)
