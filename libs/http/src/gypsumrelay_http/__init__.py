"""HTTP servers with worker threads, checks of answers, and header fields."""

from gypsumrelay_http.answer_syntax import MalformedAnswerError
from gypsumrelay_http.answers import AnswerReader
from gypsumrelay_http.breaking_off import ResettingTask
from gypsumrelay_http.client import client_library
from gypsumrelay_http.headers import (
    HOP_BY_HOP,
    environ_headers,
    listed_headers,
)
from gypsumrelay_http.read_limits import (
    ANSWER_BYTES,
    HEAD_BYTES,
    MIN_SECONDS,
    AnswerInterruptedError,
    BoundedSocket,
    ReadLimits,
    Silence,
)
from gypsumrelay_http.server import (
    Application,
    StartResponse,
    start_server,
)

__all__ = (
    'ANSWER_BYTES',
    'HEAD_BYTES',
    'HOP_BY_HOP',
    'MIN_SECONDS',
    'AnswerInterruptedError',
    'AnswerReader',
    'Application',
    'BoundedSocket',
    'MalformedAnswerError',
    'ReadLimits',
    'ResettingTask',
    'Silence',
    'StartResponse',
    'client_library',
    'environ_headers',
    'listed_headers',
    'start_server',
)
