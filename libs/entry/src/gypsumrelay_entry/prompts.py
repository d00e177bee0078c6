"""Model requests: parsing, token estimates and prefix digests."""

from __future__ import annotations

import hashlib
import json
from typing import Any, Final

import attrs
from gypsumrelay_configuration import Contract, Model, State, find_model
from gypsumrelay_errors import (
    BodyMalformed,
    Failure,
    ModelNotAllowed,
    ModelUnknown,
    TokensOutOfRange,
)

DEFAULT_OUTPUT_TOKENS: Final = 256
DIGEST_BYTES: Final = 8
REQUEST_DIGEST_BYTES: Final = 16
# Upper limit of the latency targets in a request: ten minutes.
MAX_TARGET_MS: Final = 600_000
# Average bytes per token are at most this in every text that is served. Gives
# an upper bound of the tokens in text without spaces.
BYTES_PER_TOKEN: Final = 8
LOWEST_PRIORITY: Final = 9


@attrs.frozen
class ModelRequest:
    """A validated model request.

    Attributes:
        model: The model.
        prompt: The prompt; the messages of a chat in one text.
        is_chat: Whether it is a chat completion.
        stream: Whether the response is streamed.
        prompt_tokens: Upper estimate of the tokens in the prompt.
        max_tokens: Maximum number of output tokens.
        priority: Priority; a lower number is more urgent.
        first_token_ms: Target for the time to the first token.
        between_tokens_ms: Target for the time between two tokens.
        digest: Digest of client account and body.
    """

    model: Model
    prompt: str
    is_chat: bool
    stream: bool
    prompt_tokens: int
    max_tokens: int
    priority: int
    first_token_ms: int
    between_tokens_ms: int
    digest: bytes


def parse_model_request(
    body: bytes,
    state: State,
    contract: Contract,
    *,
    is_chat: bool,
) -> ModelRequest | Failure:
    """Return the model request in a body, or why it is invalid.

    Args:
        body: Body of the HTTP request.
        state: State of the configuration.
        contract: Contract of the caller's client account.
        is_chat: Whether the body is a chat completion request.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return BodyMalformed('the body is not JSON')
    if not isinstance(raw, dict):
        return BodyMalformed('the body is not a JSON object')
    model = _allowed_model(raw.get('model'), state, contract)
    if isinstance(model, Failure):
        return model
    prompt = _chat_prompt(raw) if is_chat else raw.get('prompt')
    if isinstance(prompt, Failure):
        return prompt
    if not isinstance(prompt, str) or not prompt.strip():
        return BodyMalformed('the prompt is not a text')
    token_counts = _token_counts(raw, prompt, model, contract)
    if isinstance(token_counts, Failure):
        return token_counts
    return ModelRequest(
        model=model,
        prompt=prompt,
        is_chat=is_chat,
        stream=raw.get('stream') is True,
        prompt_tokens=token_counts[0],
        max_tokens=token_counts[1],
        priority=_relaxed_target(
            raw, 'priority', contract.priority, LOWEST_PRIORITY
        ),
        first_token_ms=_relaxed_target(
            raw, 'first_token_ms', contract.first_token_ms
        ),
        between_tokens_ms=_relaxed_target(
            raw,
            'between_tokens_ms',
            contract.between_tokens_ms,
        ),
        digest=request_digest(contract.client_account, body),
    )


def request_digest(client_account: str, body: bytes) -> bytes:
    """Return the digest that identifies copies of a request."""
    digest = hashlib.blake2b(
        client_account.encode(), digest_size=REQUEST_DIGEST_BYTES
    )
    digest.update(body)
    return digest.digest()


def estimate_tokens(text: str) -> int:
    """Return an upper estimate of the number of tokens in a text."""
    return max(len(text.split()), len(text.encode()) // BYTES_PER_TOKEN)


def prefix_digests(prompt: str, block_tokens: int) -> list[bytes]:
    """Return the digests of a prompt's prefixes, one per full cache block.

    Each digest covers its block and all blocks before it. Words stand for
    tokens.
    """
    words = prompt.split()
    digests = []
    digest = b''
    for end in range(block_tokens, len(words) + 1, block_tokens):
        block = ' '.join(words[end - block_tokens : end]).encode()
        digest = hashlib.blake2b(
            digest + block,
            digest_size=DIGEST_BYTES,
        ).digest()
        digests.append(digest)
    return digests


def _allowed_model(
    name: object,
    state: State,
    contract: Contract,
) -> Model | Failure:
    if not isinstance(name, str):
        return BodyMalformed('the model is not named')
    model = find_model(state, name)
    if model is None:
        return ModelUnknown('there is no such model')
    if name not in contract.models:
        return ModelNotAllowed('the contract does not include this model')
    return model


def _chat_prompt(raw: dict[str, Any]) -> str | BodyMalformed:
    messages = raw.get('messages')
    if not isinstance(messages, list) or not messages:
        return BodyMalformed('the messages are not a list')
    lines = []
    for message in messages:
        text = _message_text(message)
        if text is None:
            return BodyMalformed('a message has no role or no content')
        lines.append(text)
    return '\n'.join(lines)


def _message_text(message: object) -> str | None:
    if not isinstance(message, dict):
        return None
    content = message.get('content')
    role = message.get('role')
    if isinstance(content, list):
        content = _joined_parts(content)
    if not isinstance(role, str) or not isinstance(content, str):
        return None
    return f'{role}: {content}'


def _joined_parts(parts: list[Any]) -> str | None:
    texts = []
    for part in parts:
        if not isinstance(part, dict):
            return None
        image = part.get('image_url')
        text = image.get('url') if isinstance(image, dict) else None
        text = part.get('text', text)
        if not isinstance(text, str):
            return None
        texts.append(text)
    return ' '.join(texts)


def _token_counts(
    raw: dict[str, Any],
    prompt: str,
    model: Model,
    contract: Contract,
) -> tuple[int, int] | Failure:
    prompt_tokens = estimate_tokens(prompt)
    requested = raw.get('max_tokens', raw.get('max_completion_tokens'))
    if requested is None:
        requested = min(DEFAULT_OUTPUT_TOKENS, model.output_tokens)
    if not isinstance(requested, int) or isinstance(requested, bool):
        return BodyMalformed('max_tokens is not a whole number')
    if requested < 1 or requested > model.output_tokens:
        return TokensOutOfRange(f'max_tokens is 1 to {model.output_tokens}')
    total = prompt_tokens + requested
    if total > model.context_tokens:
        return TokensOutOfRange(
            f'the model holds {model.context_tokens} tokens'
        )
    if total > contract.burst_tokens:
        return TokensOutOfRange(
            f'the contract allows {contract.burst_tokens} tokens at once',
        )
    return prompt_tokens, requested


def _relaxed_target(
    raw: dict[str, Any],
    name: str,
    contract_value: int,
    limit: int = MAX_TARGET_MS,
) -> int:
    """Return the contract's target, or a less strict requested one.

    A requested target is limited to `limit`, if the contract's is not
    higher.
    """
    requested = raw.get(name)
    if isinstance(requested, int) and not isinstance(requested, bool):
        return min(max(requested, contract_value), max(limit, contract_value))
    return contract_value
