# Licensed under the Apache License, Version 2.0 (the "License"); you may
# not use this file except in compliance with the License. You may obtain
# a copy of the License at
#
#     http://www.apache.org/licenses/LICENSE-2.0
#
# Unless required by applicable law or agreed to in writing, software
# distributed under the License is distributed on an "AS IS" BASIS, WITHOUT
# WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied. See the
# License for the specific language governing permissions and limitations
# under the License.

"""Parsing and validation of callers' HTTP requests.

An invalid request is rejected here, before any of it reaches another process.
"""

import collections.abc
import typing

import msgspec

from galenahatch import clock
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch import schema
from galenahatch import states

IDEMPOTENCY_KEY: typing.Final = 'Idempotency-Key'
NON_IDEMPOTENT: typing.Final = 'Galenahatch-Non-Idempotent'
DEADLINE: typing.Final = 'Galenahatch-Deadline-Ms'
PRIORITY: typing.Final = 'Galenahatch-Priority'
OUTCOME: typing.Final = 'Galenahatch-Outcome'
TICKET: typing.Final = 'Galenahatch-Ticket'
REQUEST_ID: typing.Final = 'Galenahatch-Request-Id'
_MAX_KEY_LENGTH: typing.Final = 200
_MAX_DEADLINE_MS: typing.Final = 24 * 3600 * 1000
_DEFAULT_MAX_TOKENS: typing.Final = 256


class ChatMessage(msgspec.Struct, frozen=True):
    """A message in a chat request."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of /v1/completions; other OpenAI fields are ignored."""

    model: str
    prompt: str
    max_tokens: int = _DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatBody(msgspec.Struct, frozen=True):
    """Body of /v1/chat/completions; other OpenAI fields are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = _DEFAULT_MAX_TOKENS
    stream: bool = False


class Headers(msgspec.Struct, frozen=True):
    """Validated headers of a request.

    Attributes:
        request: id of the request.
        key: the caller's idempotency key, or empty.
        non_idempotent: whether the request may run only once.
        deadline_ms: milliseconds for the complete response; None if absent.
        urgency: requested urgency class; None if absent.
        ticket: queue ticket from an earlier refusal, or empty.
    """

    request: ids.RequestId
    key: str
    non_idempotent: bool
    deadline_ms: int | None
    urgency: states.Urgency | None
    ticket: str = ''


class ModelRequest(msgspec.Struct, frozen=True):
    """A validated request for a model service.

    Attributes:
        prompt_tokens: estimated length of the prompt in tokens.
        deadline: seconds for the complete response.
        patience: seconds until the first token is too late.
        chat: whether the response has the form of a chat completion.
    """

    headers: Headers
    caller: ids.CallerName
    service: schema.ModelService
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool
    urgency: states.Urgency
    deadline: float
    patience: float
    chat: bool


_COMPLETION_DECODER: typing.Final = msgspec.json.Decoder(CompletionBody)
_CHAT_DECODER: typing.Final = msgspec.json.Decoder(ChatBody)


def read_headers(
    headers: collections.abc.Mapping[str, str],
) -> Headers | errors.Failure:
    """Validate the headers of a request."""
    key = headers.get(IDEMPOTENCY_KEY, '')
    if len(key) > _MAX_KEY_LENGTH or not key.isprintable():
        return _bad_header_failure(
            IDEMPOTENCY_KEY, 'at most 200 printable characters'
        )
    flag = headers.get(NON_IDEMPOTENT, 'false').lower()
    if flag not in ('true', 'false'):
        return _bad_header_failure(NON_IDEMPOTENT, 'true or false')
    if flag == 'true' and not key:
        return errors.Failure(errors.KEY_REQUIRED)
    deadline = _parse_deadline(headers.get(DEADLINE))
    if isinstance(deadline, errors.Failure):
        return deadline
    urgency = None
    if PRIORITY in headers:
        urgency = schema.urgency_by_name(headers[PRIORITY].lower())
        if urgency is None:
            return _bad_header_failure(PRIORITY, 'urgent, normal or bulk')
    request = ids.RequestId(f'r{clock.random_token()[:20]}')
    ticket = headers.get(TICKET, '')
    if len(ticket) > _MAX_KEY_LENGTH:
        return _bad_header_failure(TICKET, 'the ticket of a refusal')
    return Headers(request, key, flag == 'true', deadline, urgency, ticket)


def _parse_deadline(text: str | None) -> int | None | errors.Failure:
    if text is None:
        return None
    number = int(text) if text.isascii() and text.isdigit() else 0
    if not 0 < number <= _MAX_DEADLINE_MS:
        return _bad_header_failure(DEADLINE, 'milliseconds, from 1 to one day')
    return number


def read_caller(
    headers: collections.abc.Mapping[str, str], settings: schema.Config
) -> schema.Caller | errors.Failure:
    """Authenticate the caller of a request."""
    scheme, _, token = headers.get('Authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not token:
        return errors.Failure(errors.UNAUTHORIZED, 'no bearer token')
    caller = settings.caller_by_token(token.strip())
    if caller is None:
        return errors.Failure(errors.UNAUTHORIZED, 'unknown token')
    return caller


def read_model_request(
    body: bytes,
    headers: Headers,
    caller: schema.Caller,
    settings: schema.Config,
    chat: bool,
) -> ModelRequest | errors.Failure:
    """Parse and validate a request for a model service."""
    parsed = _parse(body, chat)
    if isinstance(parsed, errors.Failure):
        return parsed
    service = settings.service(parsed.model)
    if service is None:
        return errors.Failure(errors.UNKNOWN_MODEL, parsed.model[:100])
    prompt = _prompt_text(parsed)
    if not prompt:
        return errors.Failure(errors.BAD_FIELD, 'prompt: empty')
    if not 0 < parsed.max_tokens <= service.max_output_tokens:
        detail = f'max_tokens: from 1 to {service.max_output_tokens}'
        return errors.Failure(errors.BAD_FIELD, detail)
    tokens = max(1, int(len(prompt.encode()) / service.bytes_per_token))
    if tokens > service.max_prompt_tokens:
        detail = f'{tokens} tokens, limit {service.max_prompt_tokens}'
        return errors.Failure(errors.PROMPT_TOO_LONG, detail)
    deadline = min(
        service.deadline_ms, headers.deadline_ms or service.deadline_ms
    )
    first_token_timeout_ms = service.wait_ms or service.first_token_ms
    return ModelRequest(
        headers=headers,
        caller=caller.name,
        service=service,
        prompt=prompt,
        prompt_tokens=tokens,
        max_tokens=parsed.max_tokens,
        stream=parsed.stream,
        urgency=_effective_urgency(headers, caller, service),
        deadline=deadline / 1000,
        patience=min(first_token_timeout_ms, deadline) / 1000,
        chat=chat,
    )


def _parse(
    body: bytes, chat: bool
) -> CompletionBody | ChatBody | errors.Failure:
    reason, invalid = errors.BAD_JSON, errors.BAD_FIELD
    if chat:
        return decoding.decode(_CHAT_DECODER, body, reason, invalid=invalid)
    return decoding.decode(_COMPLETION_DECODER, body, reason, invalid=invalid)


def _prompt_text(body: CompletionBody | ChatBody) -> str:
    if isinstance(body, CompletionBody):
        return body.prompt
    return '\n'.join(f'{m.role}: {m.content}' for m in body.messages)


def _effective_urgency(
    headers: Headers, caller: schema.Caller, service: schema.ModelService
) -> states.Urgency:
    """Return the requested class, capped at the caller's highest class."""
    default = schema.urgency_by_name(service.urgency) or states.Urgency.URGENT
    highest = schema.urgency_by_name(caller.urgency) or states.Urgency.URGENT
    requested = default if headers.urgency is None else headers.urgency
    return max(requested, highest)


def _bad_header_failure(name: str, expected: str) -> errors.Failure:
    return errors.Failure(errors.BAD_HEADER, f'{name}: expected {expected}')
