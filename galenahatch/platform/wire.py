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

"""Headers of requests and answers: decoded once, and written once.

Names that begin with the platform's prefix are spelled only here. What the
system tells an upstream is never taken from a caller: those headers are
dropped from a caller's request before it goes on.
"""

import dataclasses
import re
import typing

import multidict

from galenahatch.core import customers
from galenahatch.core import incarnations
from galenahatch import errors
from galenahatch.gateway import calls

_PREFIX: typing.Final = 'X-Galenahatch-'
_REQUEST: typing.Final = _PREFIX + 'Request-Id'
_PATIENCE: typing.Final = _PREFIX + 'Deadline-Ms'
_MODEL: typing.Final = _PREFIX + 'Model'
_TOKENS: typing.Final = _PREFIX + 'Token-Count'
_PARTS: typing.Final = _PREFIX + 'Prompt-Prefix'
_HINT: typing.Final = _PREFIX + 'Length-Hint'
_LAST_EVENT: typing.Final = 'Last-Event-Id'
_CREDENTIALS: typing.Final = 'Authorization'
_CUSTOMER: typing.Final = _PREFIX + 'Tenant'

INSTANCE_HEADER: typing.Final = _PREFIX + 'Expect-Instance'
"""The only upstream that may take a request or an order."""
_STAGE: typing.Final = _PREFIX + 'Stage'
_KV_SOURCE: typing.Final = _PREFIX + 'Kv-Source'
_PRIORITY: typing.Final = _PREFIX + 'Request-Priority'

_SIGNATURE: typing.Final = _PREFIX + 'Response-Stamp'
_NOT_EXECUTED: typing.Final = _PREFIX + 'Not-Executed'
_LOAD: typing.Final = _PREFIX + 'Instance-Load'
_RATE_LIMIT: typing.Final = 'Server-Limit'
_LEAVING: typing.Final = 'Server-Leaving'
_RETRY_AFTER: typing.Final = 'Retry-After'
_DECIMAL: typing.Final = re.compile(r'[0-9]{1,15}(\.[0-9]{1,15})?')

_SYSTEM_ONLY: typing.Final = frozenset(
    name.lower()
    for name in (
        INSTANCE_HEADER,
        _STAGE,
        _KV_SOURCE,
        _PRIORITY,
        _PATIENCE,
        _PREFIX + 'Kv-Hold',
        _PREFIX + 'Pin-Ms',
        _PREFIX + 'Kv-Backup',
        _PREFIX + 'Expect-Version',
        'Kv-Fetch',
        _PREFIX + 'Kv-Fetch',
    )
)
"""Set by the system alone; a caller's are dropped."""

_ONE_CONNECTION: typing.Final = frozenset(
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
"""Concern one connection; never passed on."""

_LAST_PRIORITY: typing.Final = 9
"""The rank of what engines serve last."""
_MOST_DIGITS: typing.Final = 15
"""Of a number that is taken for one: beyond, sums are no longer exact."""
_SHOWN: typing.Final = 40
"""Characters of a malformed value that are logged."""

RawHeaders = typing.Iterable[tuple[bytes, bytes]]


def decode_call(
    method: str, target: str, raw: RawHeaders, body: bytes, arrived_at: float
) -> calls.Call:
    """Return a caller's request.

    Args:
        method: as sent.
        target: path and query as sent.
        raw: headers as sent.
        body: whole.
        arrived_at: monotonic seconds at which its head had been read.
    """
    headers = _end_to_end(raw)
    patience = _number(headers.get(_PATIENCE, ''))
    for name in _SYSTEM_ONLY:
        headers.popall(name, None)
    return calls.Call(
        id=headers.get(_REQUEST, ''),
        method=method,
        host=headers.get('Host', ''),
        target=target,
        headers=headers,
        body=body,
        arrived_at=arrived_at,
        caller_timeout=patience / 1000 if patience is not None else None,
        prompt=_prompt(headers),
        last_event_id=headers.get(_LAST_EVENT, ''),
        tokens=_tokens(headers),
        credentials=tuple(headers.getall(_CREDENTIALS, ())),
    )


def with_customer(
    request: calls.Call, customer: customers.Customer | None
) -> calls.Call:
    """Return a request whose caller is known.

    Neither its credentials nor what it says of its customer go on.

    Args:
        request: as it came.
        customer: whom the caller belongs to; None on an anonymous route.
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
    request: calls.Call, directions: calls.ForwardingOptions
) -> 'multidict.CIMultiDict[str]':
    """Return the headers of a request to an upstream."""
    headers = request.headers.copy()
    headers[INSTANCE_HEADER] = incarnations.instance_id(directions.upstream)
    if directions.time_left is not None:
        left = max(1, int(directions.time_left * 1000))
        headers[_PATIENCE] = str(left)
    if directions.prefill_only:
        headers[_STAGE] = 'prefill'
    if directions.kv_source:
        headers[_KV_SOURCE] = directions.kv_source
    if directions.last_event_id:
        headers[_LAST_EVENT] = directions.last_event_id
    if directions.priority is not None:
        headers[_PRIORITY] = str(min(directions.priority, _LAST_PRIORITY))
    return headers


def decode_response_head(status: int, raw: RawHeaders) -> calls.ResponseHead:
    """Return the head of an upstream's answer."""
    headers = _end_to_end(raw)
    return calls.ResponseHead(
        status=status,
        headers=headers,
        request_id=headers.get(_REQUEST, ''),
        is_signed=_SIGNATURE in headers,
        not_executed=_NOT_EXECUTED in headers or status == 421,
        load=_load(headers.get(_LOAD, '')),
        is_encoded=headers.get('Content-Encoding', 'identity') != 'identity',
        rate_limit=_lowest(headers, _RATE_LIMIT),
        leaving=_leaving(headers),
        pause=_lowest(headers, _RETRY_AFTER) if status == 503 else None,
    )


def local_response_headers(
    request: str, status: int
) -> 'multidict.CIMultiDict[str]':
    """Return the headers of an answer that the system makes itself."""
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    if request:
        headers[_REQUEST] = request
    if status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return headers


def _end_to_end(raw: RawHeaders) -> 'multidict.CIMultiDict[str]':
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    named: set[str] = set()
    for raw_name, raw_value in raw:
        name = raw_name.decode('latin-1')
        value = raw_value.decode('utf-8', 'surrogateescape')
        if name.lower() == 'connection':
            named.update(v.strip().lower() for v in value.split(','))
        headers.add(name, value)
    for name in _ONE_CONNECTION | named:
        headers.popall(name, None)
    return headers


def _sizes(headers: 'multidict.CIMultiDict[str]') -> tuple[int, int] | None:
    """Return the tokens of the prompt, and at most of the answer."""
    sizes = headers.get(_TOKENS, '').split(',')
    numbers = [_number(size.strip()) for size in sizes]
    if len(numbers) != 2 or None in numbers:
        return None
    tokens, most = (int(number or 0) for number in numbers)
    return tokens, most


def _tokens(headers: 'multidict.CIMultiDict[str]') -> int | None:
    sizes = _sizes(headers)
    return sum(sizes) if sizes is not None else None


def _prompt(
    headers: 'multidict.CIMultiDict[str]',
) -> calls.Prompt | None:
    sizes = _sizes(headers)
    if sizes is None or _MODEL not in headers:
        return None
    tokens, most = sizes
    last = headers.get(_PARTS, '').rsplit(',', 1)[-1]
    hint = _number(headers.get(_HINT, ''))
    return calls.Prompt(
        tokens=tokens,
        max_output=most,
        estimated_output=int(hint) if hint is not None else None,
        last_block_id=last.partition(':')[0].strip(),
    )


def _load(text: str) -> int | None:
    """Return running and waiting requests; the third number is slots."""
    numbers = [_number(part.strip()) for part in text.split(',')]
    if len(numbers) < 2 or numbers[0] is None or numbers[1] is None:
        return None
    return int(numbers[0] + numbers[1])


def _lowest(
    headers: 'multidict.CIMultiDict[str]', name: str
) -> float | None | errors.Failure:
    """Return the lowest decimal number of a header; None without it."""
    texts = [text.strip() for text in headers.getall(name, ())]
    if not texts:
        return None
    numbers = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    if numbers:
        return min(numbers)
    return _malformed(name, texts[0], 'a decimal number')


def _leaving(
    headers: 'multidict.CIMultiDict[str]',
) -> bool | errors.Failure:
    """Return whether an upstream says that it leaves."""
    texts = {text.strip() for text in headers.getall(_LEAVING, ())}
    if '1' in texts:
        return True
    odd = sorted(texts - {'0'})
    return _malformed(_LEAVING, odd[0], '1') if odd else False


def _malformed(name: str, text: str, expected: str) -> errors.Failure:
    detail = f'{name} is {text[:_SHOWN]!r}, expected {expected}'
    return errors.Failure(errors.BAD_UPSTREAM, detail)


def _number(text: str) -> float | None:
    if not text.isascii() or not text.isdigit() or len(text) > _MOST_DIGITS:
        return None
    return float(text)
