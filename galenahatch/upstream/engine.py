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

Work is a prefill call, then a decode call that makes the engine import
the KV cache from the prefill engine and generate. Generated tokens come as
JSON lines, each with its stream and offset, and end with an end marker.
The engine keeps a stream when the connection drops: it can be resumed by
offset, and only a cancel frees its memory.
"""

import enum
import typing

import aiohttp
import msgspec

from galenahatch.core import orders
from galenahatch import errors
from galenahatch import ids
from galenahatch.upstream import http

MAX_LINE_BYTES: typing.Final = 64 * 1024
_SHORT_SECONDS: typing.Final = 2.0
_SHORT: typing.Final = aiohttp.ClientTimeout(total=_SHORT_SECONDS)
_REFUSED: typing.Final = 503
_EVICTED: typing.Final = 410
_STALE: typing.Final = 409


class PrefillRequest(msgspec.Struct, frozen=True):
    """Work for a prefill engine.

    Attributes:
        stream: id of the attempt.
        prompt: text.
        generated: tokens already passed on, to go on after them.
        priority: 0 is the most urgent.
    """

    stream: ids.StreamId
    prompt: str
    generated: tuple[str, ...]
    priority: int


class PrefillResult(msgspec.Struct, frozen=True):
    """Result of a prefill.

    Attributes:
        prompt_tokens: length of the prompt, counted by the engine.
        cached_tokens: of these, found in its cache.
    """

    prompt_tokens: int
    cached_tokens: int


class DecodeRequest(msgspec.Struct, frozen=True):
    """Work for a decode engine.

    Attributes:
        stream: id of the attempt.
        source: URL of the prefill engine that has the KV cache.
        max_tokens: most tokens to generate in all.
        priority: 0 is the most urgent.
    """

    stream: ids.StreamId
    source: str
    max_tokens: int
    priority: int


class Event(msgspec.Struct, frozen=True):
    """One line of a stream: a token, or the end marker.

    Attributes:
        stream: whose.
        offset: number of the token; of the end marker, how many there are.
        text: of the token.
        finish: stop or length on the end marker, else empty.
    """

    stream: str
    offset: int
    text: str = ''
    finish: str = ''


class CacheEvent(msgspec.Struct, frozen=True):
    """A cache event: prefix blocks stored or evicted."""

    number: int
    blocks: tuple[int, ...]
    evicted: bool = False


class Load(msgspec.Struct, frozen=True):
    """An engine's load report, which lags.

    Attributes:
        incarnation: chosen when the engine started.
        sequence: number of the report.
        leaving: the engine takes no new work.
        held: requests in its memory.
        seconds_per_token: time of its last decode steps.
        events: cache events after the number asked for.
    """

    incarnation: int
    sequence: int
    leaving: bool
    held: int
    seconds_per_token: float
    events: tuple[CacheEvent, ...] = ()


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error answer; `started` tells whether work began."""

    started: bool = True
    why: str = ''


_DONE: typing.Final = msgspec.json.Decoder(PrefillResult)
_EVENT: typing.Final = msgspec.json.Decoder(Event)
_LOAD: typing.Final = msgspec.json.Decoder(Load)
_REFUSAL: typing.Final = msgspec.json.Decoder(ErrorBody)
_ORDER: typing.Final = msgspec.json.Decoder(orders.Order)


async def prefill(
    client: aiohttp.ClientSession, url: str, call: PrefillRequest
) -> PrefillResult | errors.Failure:
    """Run a prefill; its result is kept for a short time."""
    body = msgspec.json.encode(call)
    try:
        async with client.post(f'{url}/prefill', data=body) as response:
            data = await http.read_all(response, MAX_LINE_BYTES)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    if response.status != 200:
        return _refused(response.status, data)
    try:
        return _DONE.decode(data)
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_UPSTREAM, str(error))


class CancelOutcome(enum.Enum):
    """What came of a cancel.

    An absent engine refuses connections: its process, and so its memory,
    is gone.
    """

    CONFIRMED = 'confirmed'
    FAILED = 'failed'
    ABSENT = 'absent'


async def cancel(
    client: aiohttp.ClientSession, url: str, stream: ids.StreamId
) -> CancelOutcome:
    """Free a stream; confirmed once the engine says that it has none."""
    try:
        async with client.delete(
            f'{url}/streams/{stream}', timeout=_SHORT
        ) as response:
            await http.read_all(response, MAX_LINE_BYTES)
    except aiohttp.ClientConnectorError as error:
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return CancelOutcome.ABSENT if refused else CancelOutcome.FAILED
    except http.CLIENT_ERRORS:
        return CancelOutcome.FAILED
    if response.status in (200, 404):
        return CancelOutcome.CONFIRMED
    return CancelOutcome.FAILED


async def fetch_load(
    client: aiohttp.ClientSession, url: str, since: int
) -> Load | errors.Failure:
    """Return a load report with the cache events after a number."""
    try:
        async with client.get(
            f'{url}/load?since={since}', timeout=_SHORT
        ) as response:
            data = await http.read_all(response)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    try:
        return _LOAD.decode(data)
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_UPSTREAM, str(error))


async def fetch_order(
    client: aiohttp.ClientSession, url: str
) -> orders.Order | errors.Failure:
    """Return what an engine runs."""
    try:
        async with client.get(f'{url}/order', timeout=_SHORT) as response:
            data = await http.read_all(response, MAX_LINE_BYTES)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    try:
        return _ORDER.decode(data)
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_UPSTREAM, str(error))


async def send_order(
    client: aiohttp.ClientSession,
    url: str,
    wanted: orders.Order,
    fencing: int,
) -> errors.Failure | None:
    """Tell an engine what to run; None when it took the order."""
    body = msgspec.json.encode({'order': wanted, 'fencing': fencing})
    try:
        async with client.post(
            f'{url}/order', data=body, timeout=_SHORT
        ) as response:
            data = await http.read_all(response, MAX_LINE_BYTES)
    except http.CLIENT_ERRORS as error:
        return http.send_failure(error)
    if isinstance(data, errors.Failure):
        return data
    if response.status == _STALE:
        return errors.Failure(errors.STALE_FENCING, url)
    if response.status != 200:
        return _refused(response.status, data)
    return None


class Stream:
    """A decode stream that is being read over one connection."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self._rest = b''

    async def read(self) -> list[Event] | errors.Failure:
        """Return the next events, at least one, or why there are none.

        The end of the connection is STREAM_BROKEN, always: a stream ends
        with its end marker, after which nobody reads on.
        """
        while True:
            try:
                chunk = await self._response.content.readany()
            except http.CLIENT_ERRORS as error:
                detail = f'{type(error).__name__} {error}'
                return errors.Failure(errors.STREAM_BROKEN, detail)
            if not chunk:
                return errors.Failure(errors.STREAM_BROKEN, 'closed')
            lines = (self._rest + chunk).split(b'\n')
            self._rest = lines.pop()
            if len(self._rest) > MAX_LINE_BYTES:
                return errors.Failure(errors.BAD_UPSTREAM, 'line too long')
            if lines:
                return _events(lines)

    def close(self) -> None:
        """Drop the connection; the engine keeps the stream."""
        self._response.close()


def _events(lines: list[bytes]) -> list[Event] | errors.Failure:
    try:
        return [_EVENT.decode(line) for line in lines if line]
    except msgspec.MsgspecError as error:
        return errors.Failure(errors.BAD_UPSTREAM, str(error))


async def decode(
    client: aiohttp.ClientSession, url: str, call: DecodeRequest
) -> Stream | errors.Failure:
    """Import the KV cache and begin to generate."""
    body = msgspec.json.encode(call)
    return await _open(client, 'POST', f'{url}/decode', body)


async def resume(
    client: aiohttp.ClientSession,
    url: str,
    stream: ids.StreamId,
    offset: int,
) -> Stream | errors.Failure:
    """Read a stream again from an offset; STREAM_GONE if there is none."""
    path = f'{url}/streams/{stream}?offset={offset}'
    opened = await _open(client, 'GET', path, None)
    if isinstance(opened, errors.Failure):
        if opened.reason is errors.NOT_FOUND:
            return errors.Failure(errors.STREAM_GONE, opened.detail)
    return opened


async def _open(
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
    return _refused(response.status, data)


def _refused(status: int, data: bytes) -> errors.Failure:
    """Return the failure that an error answer means."""
    if status == 404:
        return errors.Failure(errors.NOT_FOUND, 'stream')
    try:
        refusal = _REFUSAL.decode(data)
    except msgspec.MsgspecError:
        refusal = ErrorBody()
    detail = f'status {status} {refusal.why}'
    if status == _EVICTED:
        return errors.Failure(errors.STREAM_GONE, detail)
    if status == _REFUSED and not refusal.started:
        return errors.Failure(errors.UPSTREAM_REFUSED, detail)
    return errors.Failure(errors.ENGINE_FAILED, detail)
