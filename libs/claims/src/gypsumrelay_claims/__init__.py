"""Claims for idempotency keys and stored responses."""

from gypsumrelay_claims.actions import (
    Action,
    Append,
    AppendResult,
    Claim,
    ClaimKey,
    Granted,
    LogRead,
    ReadLog,
    Taken,
    Unavailable,
)
from gypsumrelay_claims.appending import (
    flush,
    next_flush_at,
    on_append_result,
    run_maintenance,
)
from gypsumrelay_claims.ownership import choose_committers, committer_of
from gypsumrelay_claims.reading import apply_read
from gypsumrelay_claims.requests import complete, release, submit
from gypsumrelay_claims.responses import (
    ResponseHead,
    ResponsePart,
    ResponseRead,
    ResponseState,
    StoredResponses,
    append_part,
    begin_response,
    expire_responses,
    fail_response,
    finish_response,
    mark_response_lost,
    read_response,
    set_head,
)
from gypsumrelay_claims.state import Committer, CommitterSettings

__all__ = (
    'Action',
    'Append',
    'AppendResult',
    'Claim',
    'ClaimKey',
    'Committer',
    'CommitterSettings',
    'Granted',
    'LogRead',
    'ReadLog',
    'ResponseHead',
    'ResponsePart',
    'ResponseRead',
    'ResponseState',
    'StoredResponses',
    'Taken',
    'Unavailable',
    'append_part',
    'apply_read',
    'begin_response',
    'choose_committers',
    'committer_of',
    'complete',
    'expire_responses',
    'fail_response',
    'finish_response',
    'flush',
    'mark_response_lost',
    'next_flush_at',
    'on_append_result',
    'read_response',
    'release',
    'run_maintenance',
    'set_head',
    'submit',
)
