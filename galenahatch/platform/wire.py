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

"""Decodes and encodes the headers of requests and responses.

Header names with the platform's prefix appear only here. Headers that the
gateway sets for an upstream are never accepted from a caller: they are
removed from the caller's request before it is forwarded.
"""

import dataclasses
import re
import typing

import multidict

from galenahatch.core import customers
from galenahatch.core import incarnations
from galenahatch.core import loadreports
from galenahatch.core import poisonparts
from galenahatch import errors
from galenahatch.gateway import calls

_PREFIX: typing.Final = 'X-Galenahatch-'
_REQUEST_ID: typing.Final = _PREFIX + 'Request-Id'
_DEADLINE: typing.Final = _PREFIX + 'Deadline-Ms'
_MODEL: typing.Final = _PREFIX + 'Model'
_TOKEN_COUNT: typing.Final = _PREFIX + 'Token-Count'
_PROMPT_PREFIX: typing.Final = _PREFIX + 'Prompt-Prefix'
_LENGTH_HINT: typing.Final = _PREFIX + 'Length-Hint'
_LAST_EVENT: typing.Final = 'Last-Event-Id'
_RESUMES: typing.Final = 'Resumes'
_CREDENTIALS: typing.Final = 'Authorization'
_CUSTOMER: typing.Final = _PREFIX + 'Tenant'

INSTANCE_HEADER: typing.Final = _PREFIX + 'Expect-Instance'
"""The only instance that may execute a request or an order."""
_STAGE: typing.Final = _PREFIX + 'Stage'
_KV_SOURCE: typing.Final = _PREFIX + 'Kv-Source'
_PRIORITY: typing.Final = _PREFIX + 'Request-Priority'

_SIGNATURE: typing.Final = _PREFIX + 'Response-Stamp'
_NOT_EXECUTED: typing.Final = _PREFIX + 'Not-Executed'
_LOAD: typing.Final = _PREFIX + 'Instance-Load'
_RATE_LIMIT: typing.Final = 'Server-Limit'
_DRAINING: typing.Final = 'Server-Leaving'
_RETRY_AFTER: typing.Final = 'Retry-After'
_DECIMAL_FORMAT: typing.Final = re.compile(r'[0-9]{1,15}(\.[0-9]{1,15})?')

_GATEWAY_ONLY: typing.Final = frozenset(
    name.lower()
    for name in (
        INSTANCE_HEADER,
        _STAGE,
        _KV_SOURCE,
        _PRIORITY,
        _DEADLINE,
        _PREFIX + 'Kv-Hold',
        _PREFIX + 'Pin-Ms',
        _PREFIX + 'Kv-Backup',
        _PREFIX + 'Expect-Version',
        'Kv-Fetch',
        _PREFIX + 'Kv-Fetch',
    )
)
"""Set only by the gateway; removed from callers' requests."""

_HOP_BY_HOP: typing.Final = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
"""Headers of a single connection; never forwarded."""

_LOWEST_PRIORITY: typing.Final = 9
"""Priority value that engines serve last."""
_MAX_DIGITS: typing.Final = 15
"""Digits in a valid number; sums of longer ones are not exact."""
_MAX_LOGGED_CHARS: typing.Final = 40
"""Characters of a malformed value to include in an error."""
_MAX_LOAD_COUNT: typing.Final = 65535
"""Highest plausible number of requests at an upstream: each has a connection,
and a port has no more of them from one address."""
_SLOWDOWN_PERCENT_RANGE: typing.Final = (10.0, 10000.0)
"""Plausible times of work, in percent of the usual time. Work that takes a
hundred times as long is never answered in time."""

RawHeaders = typing.Iterable[tuple[bytes, bytes]]


def decode_call(
    method: str, target: str, raw: RawHeaders, body: bytes, arrived_at: float
) -> calls.Call:
    """Decode a caller's request.

    Args:
        method: HTTP method as received.
        target: path and query as received.
        raw: headers as received.
        body: complete body.
        arrived_at: monotonic time in seconds when the head had been read.
    """
    headers = end_to_end_headers(raw)
    timeout_ms = _parse_number(headers.get(_DEADLINE, ''))
    for name in _GATEWAY_ONLY:
        headers.popall(name, None)
    return calls.Call(
        id=_text(headers.get(_REQUEST_ID, '')),
        method=method,
        host=headers.get('Host', ''),
        target=target,
        headers=headers,
        body=body,
        arrived_at=arrived_at,
        caller_timeout=timeout_ms / 1000 if timeout_ms is not None else None,
        prompt=_parse_prompt(headers),
        last_event_id=_text(headers.get(_LAST_EVENT, '')),
        tokens=_total_tokens(headers),
        credentials=tuple(headers.getall(_CREDENTIALS, ())),
        resumes=_text(
            headers.get(_RESUMES, headers.get(_PREFIX + _RESUMES, ''))
        ),
    )


def with_customer(
    request: calls.Call, customer: customers.Customer | None
) -> calls.Call:
    """Return an authenticated copy of a request.

    The caller's credentials and customer header are removed, so neither is
    forwarded.

    Args:
        request: request as received.
        customer: customer of the caller; None on an anonymous route.
    """
    headers = request.headers.copy()
    headers.popall(_CREDENTIALS, None)
    headers.popall(_CUSTOMER, None)
    if customer is not None:
        headers[_CUSTOMER] = customer.name
    return dataclasses.replace(
        request,
        headers=headers,
        credentials=(),
        credentials_checked=True,
        customer=customer,
    )


def upstream_headers(
    request: calls.Call, options: calls.ForwardingOptions
) -> 'multidict.CIMultiDict[str]':
    """Return the headers of a request to forward to an upstream."""
    headers = request.headers.copy()
    headers[INSTANCE_HEADER] = incarnations.instance_id(options.upstream)
    if options.time_left is not None:
        left_ms = max(1, int(options.time_left * 1000))
        headers[_DEADLINE] = str(left_ms)
    if options.prefill_only:
        headers[_STAGE] = 'prefill'
    if options.kv_source:
        headers[_KV_SOURCE] = options.kv_source
    if options.last_event_id:
        headers[_LAST_EVENT] = options.last_event_id
    if options.priority is not None:
        headers[_PRIORITY] = str(min(options.priority, _LOWEST_PRIORITY))
    return headers


def shorten_deadline(
    headers: 'multidict.CIMultiDict[str]', seconds: float
) -> 'multidict.CIMultiDict[str]':
    """Return headers for an upstream whose deadline is that much closer."""
    left_ms = _parse_number(headers.get(_DEADLINE, ''))
    if left_ms is None:
        return headers
    shortened = headers.copy()
    shortened[_DEADLINE] = str(max(1, int(left_ms - seconds * 1000)))
    return shortened


def decode_response_head(status: int, raw: RawHeaders) -> calls.ResponseHead:
    """Decode the head of an upstream's response."""
    headers = end_to_end_headers(raw)
    load, load_error = _parse_load(headers.get(_LOAD, ''))
    return calls.ResponseHead(
        status=status,
        headers=headers,
        request_id=_text(headers.get(_REQUEST_ID, '')),
        is_signed=_SIGNATURE in headers,
        not_executed=_NOT_EXECUTED in headers or status == 421,
        load=load,
        is_encoded=headers.get('Content-Encoding', 'identity') != 'identity',
        rate_limit=_lowest_number(headers, _RATE_LIMIT),
        leaving=_announces_drain(headers),
        pause=_lowest_number(headers, _RETRY_AFTER) if status == 503 else None,
        load_error=load_error,
    )


def local_response_headers(
    request_id: str, status: int
) -> 'multidict.CIMultiDict[str]':
    """Return the headers of a response that the gateway generates."""
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    if request_id:
        headers[_REQUEST_ID] = request_id
    if status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return headers


def end_to_end_headers(raw: RawHeaders) -> 'multidict.CIMultiDict[str]':
    """Return headers without those of a single connection."""
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    connection_options: set[str] = set()
    for raw_name, raw_value in raw:
        name = raw_name.decode('latin-1')
        value = raw_value.decode('utf-8', 'surrogateescape')
        if name.lower() == 'connection':
            connection_options.update(
                v.strip().lower() for v in value.split(',')
            )
        headers.add(name, value)
    for name in _HOP_BY_HOP | connection_options:
        headers.popall(name, None)
    return headers


def _token_counts(
    headers: 'multidict.CIMultiDict[str]',
) -> tuple[int, int] | None:
    """Return the prompt's token count and the output token limit."""
    counts = headers.get(_TOKEN_COUNT, '').split(',')
    numbers = [_parse_number(count.strip()) for count in counts]
    if len(numbers) != 2 or None in numbers:
        return None
    tokens, max_output = (int(number or 0) for number in numbers)
    return tokens, max_output


def _total_tokens(headers: 'multidict.CIMultiDict[str]') -> int | None:
    counts = _token_counts(headers)
    return sum(counts) if counts is not None else None


def _parse_prompt(
    headers: 'multidict.CIMultiDict[str]',
) -> calls.Prompt | None:
    counts = _token_counts(headers)
    if counts is None or _MODEL not in headers:
        return None
    tokens, max_output = counts
    *shared, last_block = headers.get(_PROMPT_PREFIX, '').split(',')
    length_hint = _parse_number(headers.get(_LENGTH_HINT, ''))
    return calls.Prompt(
        tokens=tokens,
        max_output=max_output,
        estimated_output=int(length_hint) if length_hint is not None else None,
        last_block_id=_block_id(last_block),
        shared_parts=tuple(
            poisonparts.part_key(part_id)
            for part_id in map(_block_id, shared[: poisonparts.MAX_PARTS])
            if part_id.isalnum() and len(part_id) <= _MAX_LOGGED_CHARS
        ),
    )


def _block_id(entry: str) -> str:
    """Return the id in an entry of a prompt's parts, `id:tokens`."""
    return _text(entry.partition(':')[0].strip())


def _text(value: str) -> str:
    """Return a header's value that messages, rows and logs can carry.

    Bytes that are not UTF-8 can't be encoded there; they are written out.
    """
    return value.encode(errors='backslashreplace').decode()


def _parse_load(
    text: str,
) -> tuple[loadreports.LoadReport | None, errors.Failure | None]:
    """Return the load that a header states, and what is wrong with it.

    The figures are the requests running and waiting, optionally the slots and
    the present time of work in percent of the usual. If one of the latter two
    is implausible, the others still count.
    """
    if not text:
        return None, None
    parts = [part.strip() for part in text.split(',')]
    counts = [_parse_count(part) for part in parts[:3]]
    slowdown = _parse_slowdown(parts[3]) if len(parts) > 3 else None
    is_malformed = None in counts or (len(parts) > 3 and slowdown is None)
    error = (
        _malformed_header(_LOAD, text, 'plausible counts and percentage')
        if is_malformed or len(counts) < 2
        else None
    )
    running, waiting, slots = (*counts, None, None, None)[:3]
    if running is None or waiting is None:
        return None, error
    report = loadreports.LoadReport(running, waiting, slots or 0, slowdown)
    return report, error


def _parse_count(text: str) -> int | None:
    number = _parse_number(text)
    if number is None or number > _MAX_LOAD_COUNT:
        return None
    return int(number)


def _parse_slowdown(text: str) -> float | None:
    """Return the time of work as a multiple of the usual, if plausible."""
    if not _DECIMAL_FORMAT.fullmatch(text):
        return None
    percent = float(text)
    lowest, highest = _SLOWDOWN_PERCENT_RANGE
    return percent / 100 if lowest <= percent <= highest else None


def _lowest_number(
    headers: 'multidict.CIMultiDict[str]', name: str
) -> float | None | errors.Failure:
    """Return the lowest number in a header; None if it is absent."""
    texts = [text.strip() for text in headers.getall(name, ())]
    if not texts:
        return None
    numbers = [
        float(text) for text in texts if _DECIMAL_FORMAT.fullmatch(text)
    ]
    if numbers:
        return min(numbers)
    return _malformed_header(name, texts[0], 'a decimal number')


def _announces_drain(
    headers: 'multidict.CIMultiDict[str]',
) -> bool | errors.Failure:
    """Return whether an upstream announces that it is draining."""
    texts = {text.strip() for text in headers.getall(_DRAINING, ())}
    if '1' in texts:
        return True
    invalid = sorted(texts - {'0'})
    return _malformed_header(_DRAINING, invalid[0], '1') if invalid else False


def _malformed_header(name: str, text: str, expected: str) -> errors.Failure:
    detail = f'{name} is {text[:_MAX_LOGGED_CHARS]!r}, expected {expected}'
    return errors.Failure(errors.BAD_UPSTREAM, detail)


def _parse_number(text: str) -> float | None:
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_DIGITS:
        return None
    return float(text)
