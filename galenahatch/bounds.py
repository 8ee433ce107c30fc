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

"""Bounds of values that another process chose.

Each is stated once, as a type that decoders check. It follows from what is
done with the value later: it stands in a header, a URL, a row's key or a log
line, is a socket address, or is calculated with.
"""

import ipaddress
import typing

import msgspec

ROW_BYTES: typing.Final = 65_536
"""Bytes of a row's value in the platform's store."""
KEY_BYTES: typing.Final = 200
"""Bytes of a row's key in the platform's store."""
_MAX_NAME_CHARS: typing.Final = 200
_MAX_LINE_CHARS: typing.Final = 4096
_MAX_COUNT: typing.Final = 2**53
"""Whole numbers up to this one are exact as floats, as is the next sum."""
_MAX_NUMBER: typing.Final = 2**63 - 1
"""MessagePack carries one more bit, so there is room to count on."""
_MAX_SECONDS: typing.Final = 1e9
_MAX_MS: typing.Final = 1e15
"""Times of clocks in milliseconds, whose differences are still exact."""
MAX_PORT: typing.Final = 65_535
_NO_CONTROLS: typing.Final = (
    r'\A[^\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]*\Z'
)

TEXT: typing.Final = msgspec.Meta(
    max_length=_MAX_NAME_CHARS, pattern=_NO_CONTROLS
)
"""A name that logs, messages and rows repeat."""

Text = typing.Annotated[str, TEXT]
Name = typing.Annotated[str, TEXT, msgspec.Meta(min_length=1)]
Line = typing.Annotated[
    str, msgspec.Meta(max_length=_MAX_LINE_CHARS, pattern=_NO_CONTROLS)
]
"""A host, path or prefix as an operator chose it."""
Handle = typing.Annotated[
    str, msgspec.Meta(pattern=r'\A[A-Za-z0-9_][A-Za-z0-9_.~:=+-]{0,199}\Z')
]
"""An id that stands both in a header and, as one segment, in a URL."""

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
"""A version, an era or a token that is compared and sent on."""
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
OptionalPort = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_SECONDS)]
Milliseconds = typing.Annotated[
    float, msgspec.Meta(ge=0, le=1000 * _MAX_SECONDS)
]
ClockMs = typing.Annotated[float, msgspec.Meta(ge=-_MAX_MS, le=_MAX_MS)]


def check_id(text: str) -> str:
    """Return an id that stands in a header.

    Raises:
        ValueError: It is too long for a row's key, or can't stand there.
    """
    is_visible = text.isascii() and text.isprintable() and ' ' not in text
    if not is_visible or not 0 < len(text) <= KEY_BYTES:
        raise ValueError('id: not 1 to 200 visible ASCII characters')
    return text


def check_key(text: str) -> str:
    """Return a text that fits into a row's key.

    Raises:
        ValueError: It is too long.
    """
    if len(text.encode()) > KEY_BYTES:
        raise ValueError(f'over {KEY_BYTES} bytes: {text[:40]}')
    return text


def check_ip(text: str) -> str:
    """Return the one way to write an IP address.

    Raises:
        ValueError: It is none, or none of one host.
    """
    ip = ipaddress.ip_address(text)
    if ip.is_unspecified or ip.is_multicast or '%' in text:
        raise ValueError(f'address: {text[:40]}')
    return str(ip)


def check_address(text: str) -> str:
    """Return the one way to write an IP address, in brackets if of version 6,
    and a port.

    Raises:
        ValueError: It is no such address.
    """
    host, _, port = text.rpartition(':')
    is_bracketed = host.startswith('[') and host.endswith(']')
    ip = check_ip(host[1:-1] if is_bracketed else host)
    is_number = len(port) <= 5 and port.isascii() and port.isdigit()
    if (':' in ip) is not is_bracketed or not is_number:
        raise ValueError(f'address: {text[:80]}')
    if not 0 < int(port) <= MAX_PORT or port.startswith('0'):
        raise ValueError(f'address: {text[:80]}')
    return f'[{ip}]:{port}' if is_bracketed else f'{ip}:{port}'
