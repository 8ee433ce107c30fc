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

"""Responses to callers: OpenAI-compatible JSON and server-sent events."""

import math
import typing

from aiohttp import web
import msgspec

from galenahatch.core import claim
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch import inbound
from galenahatch import schema

JSON: typing.Final = 'application/json'
EVENT_STREAM: typing.Final = 'text/event-stream'


class Sink(typing.Protocol):
    """Receiver of a response's text while it is generated."""

    async def send_text(self, text: str) -> None:
        """Send generated text to the caller."""


class DiscardingSink:
    """Discards text; used when the response is sent whole at the end."""

    async def send_text(self, text: str) -> None:
        """Discard the text."""


class StreamSink:
    """Sends text as server-sent events while it is generated.

    Args:
        request: HTTP request of the caller.
        model_request: validated model request.
    """

    def __init__(
        self, request: web.Request, model_request: inbound.ModelRequest
    ) -> None:
        self._request = request
        self._model_request = model_request
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse | None:
        """HTTP response; None before its headers are sent."""
        return self._response

    async def send_text(self, text: str) -> None:
        """Send a chunk of generated text."""
        await self._write(_chunk(self._model_request, text, None))

    async def end(self, finish: str) -> web.StreamResponse:
        """Send the finish reason and close a complete stream."""
        await self._write(_chunk(self._model_request, '', finish))
        return await self._close(b'data: [DONE]\n\n')

    async def fail(self, failure: errors.Failure) -> web.StreamResponse:
        """Send an error as the last event; no [DONE] follows."""
        body = error_body(failure, self._model_request.headers.request)
        return await self._close(b'data: ' + body + b'\n\n')

    async def _write(self, chunk: dict[str, typing.Any]) -> None:
        response = await self._open_response()
        line = b'data: ' + msgspec.json.encode(chunk) + b'\n\n'
        await response.write(line)

    async def _close(self, last: bytes) -> web.StreamResponse:
        response = await self._open_response()
        await response.write(last)
        await response.write_eof()
        return response

    async def _open_response(self) -> web.StreamResponse:
        if self._response is None:
            response = web.StreamResponse()
            response.content_type = EVENT_STREAM
            response.headers['Cache-Control'] = 'no-store'
            response.headers[inbound.OUTCOME] = 'streaming'
            response.headers[inbound.REQUEST_ID] = (
                self._model_request.headers.request
            )
            await response.prepare(self._request)
            self._response = response
        return self._response


def _chunk(
    model_request: inbound.ModelRequest, text: str, finish_reason: str | None
) -> dict[str, typing.Any]:
    choice: dict[str, typing.Any] = {
        'index': 0,
        'finish_reason': finish_reason,
    }
    if model_request.chat:
        choice['delta'] = {'content': text} if text else {}
        kind = 'chat.completion.chunk'
    else:
        choice['text'] = text
        kind = 'text_completion'
    chunk: dict[str, typing.Any] = {
        'id': model_request.headers.request,
        'object': kind,
        'model': model_request.service.name,
        'choices': [choice],
    }
    if finish_reason is not None:
        chunk['galenahatch'] = {'outcome': errors.Outcome.ANSWERED.value}
    return chunk


def completion(
    model_request: inbound.ModelRequest, text: str, finish: str, tokens: int
) -> claim.Answer:
    """Return the body of a complete response that is not streamed."""
    choice: dict[str, typing.Any] = {'index': 0, 'finish_reason': finish}
    if model_request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
        kind = 'chat.completion'
    else:
        choice['text'] = text
        kind = 'text_completion'
    body = {
        'id': model_request.headers.request,
        'object': kind,
        'model': model_request.service.name,
        'choices': [choice],
        'usage': {
            'prompt_tokens': model_request.prompt_tokens,
            'completion_tokens': tokens,
            'total_tokens': model_request.prompt_tokens + tokens,
        },
    }
    return claim.Answer(
        200, errors.Outcome.ANSWERED.value, JSON, msgspec.json.encode(body)
    )


def model_list(settings: schema.Config) -> claim.Answer:
    """Return the list of configured models."""
    listed = [
        {
            'id': service.name,
            'object': 'model',
            'created': 0,
            'owned_by': 'galenahatch',
        }
        for service in settings.services
    ]
    body = {'object': 'list', 'data': listed}
    return claim.Answer(
        200, errors.Outcome.ANSWERED.value, JSON, msgspec.json.encode(body)
    )


def failure_answer(
    failure: errors.Failure, request: ids.RequestId
) -> claim.Answer:
    """Return a failure in the form in which a claim stores it."""
    return claim.Answer(
        failure.reason.status,
        failure.outcome.value,
        JSON,
        error_body(failure, request),
    )


def error_body(failure: errors.Failure, request: ids.RequestId) -> bytes:
    """Return the JSON body of a failure."""
    error: dict[str, typing.Any] = {
        'type': failure.reason.name,
        # OpenAI clients show this text, and programs compare it.
        'message': f'{failure.reason.message} {failure.detail}'.rstrip(),
        'code': failure.reason.name,
        'reason': failure.reason.message,
        'detail': failure.detail,
        'outcome': failure.outcome.value,
        'request': request,
    }
    if failure.retry_after is not None:
        error['retry_after'] = round(failure.retry_after, 3)
    return msgspec.json.encode({'error': error})


def build_response(
    answer: claim.Answer,
    request: ids.RequestId,
    retry_after: float | None = None,
) -> web.Response:
    """Return the HTTP response for an answer."""
    response = web.Response(status=answer.status, body=answer.body)
    response.headers['Content-Type'] = answer.content_type
    response.headers[inbound.OUTCOME] = answer.outcome
    response.headers[inbound.REQUEST_ID] = request
    if retry_after is not None:
        seconds = max(1, math.ceil(retry_after))
        response.headers['Retry-After'] = str(seconds)
    return response


def failure_response(
    failure: errors.Failure, request: ids.RequestId
) -> web.Response:
    """Return the HTTP response for a failure."""
    answer = failure_answer(failure, request)
    retry_after = failure.retry_after
    if retry_after is None and failure.reason.status in (409, 429, 503):
        retry_after = 1.0
    response = build_response(answer, request, retry_after)
    if failure.ticket:
        response.headers[inbound.TICKET] = failure.ticket
    return response


class StoredCompletion(msgspec.Struct, frozen=True):
    """Text and finish reason of a stored completion."""

    text: str
    finish: str


class _StoredMessage(msgspec.Struct, frozen=True):
    content: str = ''


class _StoredChoice(msgspec.Struct, frozen=True):
    finish_reason: str
    text: str = ''
    message: _StoredMessage = _StoredMessage()


class _StoredBody(msgspec.Struct, frozen=True):
    choices: tuple[_StoredChoice, ...]


_STORED_DECODER: typing.Final = msgspec.json.Decoder(_StoredBody)


def decode_stored_completion(answer: claim.Answer) -> StoredCompletion | None:
    """Decode a stored completion; return None for any other answer."""
    if answer.outcome != errors.Outcome.ANSWERED.value:
        return None
    stored = decoding.decode(
        _STORED_DECODER, answer.body, errors.BAD_FRAME, _convert_stored
    )
    return stored if isinstance(stored, StoredCompletion) else None


def _convert_stored(body: _StoredBody) -> StoredCompletion:
    choice = body.choices[0]
    text = choice.text or choice.message.content
    return StoredCompletion(text, choice.finish_reason)
