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

"""Client of a model engine.

A request is a prefill call, then a decode call, in which the decode engine
imports the KV cache from the prefill engine and generates. Generated tokens
arrive as JSON lines, each with its stream and offset, and finish with an end
marker. The engine keeps a stream when the connection drops: the stream can
be resumed from an offset, and only a cancel frees its memory.
"""

import enum
import typing

import aiohttp
import msgspec

from galenahatch import bounds
from galenahatch.core import orders
from galenahatch import decoding
from galenahatch import errors
from galenahatch import ids
from galenahatch.upstream import http

MAX_LINE_BYTES: typing.Final = 64 * 1024
_CONTROL_TIMEOUT_S: typing.Final = 2.0
_CONTROL_TIMEOUT: typing.Final = aiohttp.ClientTimeout(
    total=_CONTROL_TIMEOUT_S
)
_REFUSED_STATUS: typing.Final = 503
_EVICTED_STATUS: typing.Final = 410
_STALE_STATUS: typing.Final = 409


class PrefillRequest(msgspec.Struct, frozen=True):
    """Body of a request to a prefill engine.

    Attributes:
        stream: id of the attempt.
        prompt: text of the prompt.
        generated: tokens already delivered, after which to continue.
        priority: priority of the request; 0 is the most urgent.
    """

    stream: ids.StreamId
    prompt: str
    generated: tuple[str, ...]
    priority: int


class PrefillResult(msgspec.Struct, frozen=True):
    """Result of a prefill.

    Attributes:
        prompt_tokens: length of the prompt in tokens, as the engine counts.
        cached_tokens: prompt tokens found in the engine's cache.
    """

    prompt_tokens: bounds.Count
    cached_tokens: bounds.Count


class DecodeRequest(msgspec.Struct, frozen=True):
    """Body of a request to a decode engine.

    Attributes:
        stream: id of the attempt.
        source: URL of the prefill engine that holds the KV cache.
        max_tokens: limit on generated tokens, including earlier ones.
        priority: priority of the request; 0 is the most urgent.
    """

    stream: ids.StreamId
    source: str
    max_tokens: int
    priority: int


class Event(msgspec.Struct, frozen=True):
    """A line of a stream: a token or the end marker.

    Attributes:
        stream: id of the stream.
        offset: index of the token; for the end marker, the token count.
        text: text of the token.
        finish: "stop" or "length" on the end marker, else empty.
    """

    stream: str
    offset: bounds.Count
    text: str = ''
    finish: str = ''


class CacheEvent(msgspec.Struct, frozen=True):
    """Prefix blocks that an engine's cache stored or evicted."""

    number: bounds.Number
    blocks: tuple[int, ...]
    evicted: bool = False


class Load(msgspec.Struct, frozen=True):
    """An engine's load report, which lags behind its actual load.

    Attributes:
        incarnation: number that the engine chose when it started.
        sequence: sequence number of the report.
        leaving: whether the engine is draining and accepts no new work.
        held: number of requests in the engine's memory.
        seconds_per_token: duration of the most recent decode steps.
        events: cache events after the requested number.
    """

    incarnation: bounds.Number
    sequence: bounds.Number
    leaving: bool
    held: bounds.Count
    seconds_per_token: bounds.Seconds
    events: tuple[CacheEvent, ...] = ()


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response; `started` tells whether work started."""

    started: bool = True
    why: str = ''


_PREFILL_DECODER: typing.Final = msgspec.json.Decoder(PrefillResult)
_EVENT_DECODER: typing.Final = msgspec.json.Decoder(Event)
_LOAD_DECODER: typing.Final = msgspec.json.Decoder(Load)
_ERROR_DECODER: typing.Final = msgspec.json.Decoder(ErrorBody)
_ORDER_DECODER: typing.Final = msgspec.json.Decoder(orders.Order)


async def prefill(
    client: aiohttp.ClientSession, url: str, call: PrefillRequest
) -> PrefillResult | errors.Failure:
    """Run a prefill; the engine keeps its result for a short time."""
    body = msgspec.json.encode(call)
    try:
        async with client.post(f'{url}/prefill', data=body) as response:
            data = await http.read_all(response, MAX_LINE_BYTES)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    if response.status != 200:
        return _failure_of_response(response.status, data)
    return decoding.decode(_PREFILL_DECODER, data, errors.BAD_UPSTREAM)


class CancelOutcome(enum.Enum):
    """Result of a cancel.

    ABSENT means that the engine refuses connections: its process has exited
    and its memory is freed.
    """

    CONFIRMED = 'confirmed'
    FAILED = 'failed'
    ABSENT = 'absent'


async def cancel(
    client: aiohttp.ClientSession, url: str, stream: ids.StreamId
) -> CancelOutcome:
    """Free a stream; CONFIRMED means that the engine no longer has it."""
    try:
        async with client.delete(
            f'{url}/streams/{stream}', timeout=_CONTROL_TIMEOUT
        ) as response:
            await http.read_all(response, MAX_LINE_BYTES)
    except aiohttp.ClientConnectorError as error:
        is_refused = isinstance(error.os_error, ConnectionRefusedError)
        return CancelOutcome.ABSENT if is_refused else CancelOutcome.FAILED
    except http.CLIENT_ERRORS:
        return CancelOutcome.FAILED
    if response.status in (200, 404):
        return CancelOutcome.CONFIRMED
    return CancelOutcome.FAILED


async def fetch_load(
    client: aiohttp.ClientSession, url: str, since: int
) -> Load | errors.Failure:
    """Fetch a load report with the cache events after a number."""
    try:
        async with client.get(
            f'{url}/load?since={since}', timeout=_CONTROL_TIMEOUT
        ) as response:
            data = await http.read_all(response)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    return decoding.decode(_LOAD_DECODER, data, errors.BAD_UPSTREAM)


async def fetch_order(
    client: aiohttp.ClientSession, url: str
) -> orders.Order | errors.Failure:
    """Fetch the order that an engine executes."""
    try:
        async with client.get(
            f'{url}/order', timeout=_CONTROL_TIMEOUT
        ) as response:
            data = await http.read_all(response, MAX_LINE_BYTES)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    return decoding.decode(_ORDER_DECODER, data, errors.BAD_UPSTREAM)


async def send_order(
    client: aiohttp.ClientSession,
    url: str,
    desired: orders.Order,
    fencing: int,
) -> errors.Failure | None:
    """Send an order to an engine; return None if it accepts the order."""
    body = msgspec.json.encode({'order': desired, 'fencing': fencing})
    try:
        async with client.post(
            f'{url}/order', data=body, timeout=_CONTROL_TIMEOUT
        ) as response:
            data = await http.read_all(response, MAX_LINE_BYTES)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    if response.status == _STALE_STATUS:
        return errors.Failure(errors.STALE_FENCING, url)
    if response.status != 200:
        return _failure_of_response(response.status, data)
    return None


class Stream:
    """A decode stream, read over a single connection."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self._partial_line = b''

    async def read(self) -> list[Event] | errors.Failure:
        """Return the next events, at least one, or a failure.

        The end of the connection is always STREAM_BROKEN: a stream finishes
        with its end marker, after which callers stop reading.
        """
        while True:
            try:
                chunk = await self._response.content.readany()
            except http.CLIENT_ERRORS as error:
                detail = f'{type(error).__name__} {error}'
                return errors.Failure(errors.STREAM_BROKEN, detail)
            if not chunk:
                return errors.Failure(errors.STREAM_BROKEN, 'closed')
            lines = (self._partial_line + chunk).split(b'\n')
            self._partial_line = lines.pop()
            if len(self._partial_line) > MAX_LINE_BYTES:
                return errors.Failure(errors.BAD_UPSTREAM, 'line too long')
            if lines:
                return _decode_events(lines)

    def close(self) -> None:
        """Close the connection; the engine keeps the stream."""
        self._response.close()


def _decode_events(lines: list[bytes]) -> list[Event] | errors.Failure:
    events = []
    for line in filter(None, lines):
        event = decoding.decode(_EVENT_DECODER, line, errors.BAD_UPSTREAM)
        if isinstance(event, errors.Failure):
            return event
        events.append(event)
    return events


async def decode(
    client: aiohttp.ClientSession, url: str, call: DecodeRequest
) -> Stream | errors.Failure:
    """Make an engine import the KV cache and start to generate."""
    body = msgspec.json.encode(call)
    return await _open_stream(client, 'POST', f'{url}/decode', body)


async def resume(
    client: aiohttp.ClientSession,
    url: str,
    stream: ids.StreamId,
    offset: int,
) -> Stream | errors.Failure:
    """Resume a stream from an offset; return STREAM_GONE if it is gone."""
    path = f'{url}/streams/{stream}?offset={offset}'
    result = await _open_stream(client, 'GET', path, None)
    if isinstance(result, errors.Failure):
        if result.reason is errors.NOT_FOUND:
            return errors.Failure(errors.STREAM_GONE, result.detail)
    return result


async def _open_stream(
    client: aiohttp.ClientSession, method: str, url: str, body: bytes | None
) -> Stream | errors.Failure:
    try:
        response = await client.request(method, url, data=body)
        if response.status == 200:
            return Stream(response)
        async with response:
            data = await http.read_all(response, MAX_LINE_BYTES)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    return _failure_of_response(response.status, data)


def _failure_of_response(status: int, data: bytes) -> errors.Failure:
    """Return the failure that an error response stands for."""
    if status == 404:
        return errors.Failure(errors.NOT_FOUND, 'stream')
    error_body = decoding.decode(_ERROR_DECODER, data, errors.BAD_UPSTREAM)
    if isinstance(error_body, errors.Failure):
        error_body = ErrorBody()
    detail = f'status {status} {decoding.printable(error_body.why)}'
    if status == _EVICTED_STATUS:
        return errors.Failure(errors.STREAM_GONE, detail)
    if status == _REFUSED_STATUS and not error_body.started:
        return errors.Failure(errors.UPSTREAM_REFUSED, detail)
    return errors.Failure(errors.ENGINE_FAILED, detail)
