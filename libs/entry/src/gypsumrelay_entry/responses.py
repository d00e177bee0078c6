"""Bodies and headers of the responses to callers."""

from __future__ import annotations

import json
import time
from http import HTTPStatus
from typing import Any, Final

import attrs
from gypsumrelay_errors import Failure

from gypsumrelay_entry.prompts import ModelRequest

STREAM_DONE: Final = b'data: [DONE]\n\n'

Headers = list[tuple[str, str]]


@attrs.frozen
class ResponseMetadata:
    """Fields that are common to all events of one response.

    Attributes:
        request_id: Id of the request.
        model: Name of the model.
        is_chat: Whether the response has the format of a chat completion.
        created: Unix time in seconds.
    """

    request_id: str
    model: str
    is_chat: bool
    created: int

    def stream_prefix(self) -> bytes:
        """Return the part of a stream event before the text.

        Only the text differs between the events of a response, so only the
        text is encoded for each batch of tokens.
        """
        kind = 'chat.completion.chunk' if self.is_chat else 'text_completion'
        prefix = json.dumps(self._common_fields(kind))[:-1]
        field = '"delta": {"content": ' if self.is_chat else '"text": '
        return f'data: {prefix}, "choices": [{{"index": 0, {field}'.encode()

    def stream_suffix(self) -> bytes:
        """Return the part of a stream event after the text."""
        closing = '}' if self.is_chat else ''
        return f'{closing}, "finish_reason": null}}]}}\n\n'.encode()

    def final_event(self, reason: str, usage: dict[str, int]) -> bytes:
        """Return the last event of a stream before `[DONE]`."""
        kind = 'chat.completion.chunk' if self.is_chat else 'text_completion'
        choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
        choice['delta' if self.is_chat else 'text'] = {} if self.is_chat else ''
        event = self._common_fields(kind) | {
            'choices': [choice],
            'usage': usage,
        }
        return b'data: ' + json.dumps(event).encode() + b'\n\n'

    def complete_body(
        self, text: str, reason: str, usage: dict[str, int]
    ) -> bytes:
        """Return the body of a non-streaming response."""
        kind = 'chat.completion' if self.is_chat else 'text_completion'
        choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
        if self.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        body = self._common_fields(kind) | {
            'choices': [choice],
            'usage': usage,
        }
        return json.dumps(body).encode()

    def _common_fields(self, kind: str) -> dict[str, Any]:
        return {
            'id': self.request_id,
            'object': kind,
            'created': self.created,
            'model': self.model,
        }


def new_metadata(request_id: str, request: ModelRequest) -> ResponseMetadata:
    """Return the common fields of the response to a model request."""
    return ResponseMetadata(
        request_id,
        request.model.name,
        request.is_chat,
        int(time.time()),
    )


def usage_object(prompt_tokens: int, output_tokens: int) -> dict[str, int]:
    """Return the `usage` object of a response."""
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': output_tokens,
        'total_tokens': prompt_tokens + output_tokens,
    }


def failure_body(failure: Failure) -> bytes:
    """Return the JSON body of an error response."""
    return json.dumps(
        {
            'error': {
                'code': failure.code,
                'message': failure.sentence,
                'outcome': failure.outcome.value,
            },
        },
    ).encode()


def failure_headers(failure: Failure, now: float) -> Headers:
    """Return the headers of an error response.

    Args:
        failure: The failure to report.
        now: Current monotonic time, from which `Retry-After` is computed.
    """
    headers = [('Content-Type', 'application/json')]
    if failure.retry_at is not None:
        seconds = max(1, round(failure.retry_at - now + 1 / 2))
        headers.append(('Retry-After', str(seconds)))
    return headers


def status_line(code: int) -> str:
    """Return the status code with its reason phrase."""
    try:
        return f'{code} {HTTPStatus(code).phrase}'
    except ValueError:
        return f'{code} Status'
