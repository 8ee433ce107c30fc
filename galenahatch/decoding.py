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

"""Decodes what another process wrote, whatever it wrote.

Bytes from outside are decoded by `decode` only, and documents within them by
`convert` or `guard`. Whatever these raise becomes a failure, so that an odd
document concerns nothing but itself. Checks and conversions into other types
belong inside the call, since they may raise as well. What a value may be is
stated by its type, see `bounds`.
"""

import collections.abc
import typing

import msgspec

from galenahatch import errors

_ERRORS: typing.Final = (
    msgspec.MsgspecError,
    ValueError,
    ArithmeticError,
    LookupError,
    RecursionError,
)
"""What a document can make a decoder or a conversion raise. Others, such as a
TypeError, show a fault of ours."""
_MAX_DETAIL_CHARS: typing.Final = 300
"""An error may quote the document, and a log repeats it."""

_T = typing.TypeVar('_T')
_T_co = typing.TypeVar('_T_co', covariant=True)
_R = typing.TypeVar('_R')


class Decoder(typing.Protocol[_T_co]):
    """What `msgspec.json.Decoder` and `msgspec.msgpack.Decoder` are."""

    def decode(self, data: bytes | memoryview, /) -> _T_co:
        """Return what the data encodes."""
        ...


def printable(text: str, limit: int = _MAX_DETAIL_CHARS) -> str:
    """Return text of another process as it may stand in a log line."""
    short = text if len(text) <= limit else f'{text[:limit]}...'
    return short if short.isprintable() else ascii(short)[1:-1]


def guard(
    parse: collections.abc.Callable[[], _T],
    reason: errors.Reason,
    subject: str = '',
    invalid: errors.Reason | None = None,
) -> _T | errors.Failure:
    """Return what a function makes of a document, or a failure.

    Args:
        parse: Decodes, checks and converts the document.
        reason: Reason of the failure.
        subject: What the document is about, to begin the detail with.
        invalid: Reason if it is well-formed but of another type; by default
            the same.
    """
    try:
        return parse()
    except _ERRORS as error:
        if isinstance(error, msgspec.ValidationError):
            reason = invalid or reason
        detail = f'{subject}: {error}' if subject else str(error)
        return errors.Failure(reason, printable(detail))


@typing.overload
def decode(
    decoder: Decoder[_T],
    data: bytes | memoryview,
    reason: errors.Reason,
    *,
    max_bytes: int | None = None,
    subject: str = '',
    invalid: errors.Reason | None = None,
) -> _T | errors.Failure:
    """Decode a document."""


@typing.overload
def decode(
    decoder: Decoder[_T],
    data: bytes | memoryview,
    reason: errors.Reason,
    convert: collections.abc.Callable[[_T], _R],
    *,
    max_bytes: int | None = None,
    subject: str = '',
    invalid: errors.Reason | None = None,
) -> _R | errors.Failure:
    """Decode a document and convert it."""


def decode(
    decoder: Decoder[_T],
    data: bytes | memoryview,
    reason: errors.Reason,
    convert: collections.abc.Callable[[_T], typing.Any] | None = None,
    *,
    max_bytes: int | None = None,
    subject: str = '',
    invalid: errors.Reason | None = None,
) -> typing.Any:
    """Decode a document, or return a failure.

    Args:
        decoder: Decoder of the document's type.
        data: The document.
        reason: Reason of the failure.
        convert: Checks what was decoded, and converts it.
        max_bytes: Size above which it is rejected; None if whoever read it
            has bounded it.
        subject: What the document is about, to begin the detail with.
        invalid: Reason if it is well-formed but of another type; by default
            the same.
    """

    def parse() -> typing.Any:
        if max_bytes is not None and len(data) > max_bytes:
            raise ValueError(f'{len(data)} bytes, at most {max_bytes}')
        decoded = decoder.decode(data)
        return decoded if convert is None else convert(decoded)

    return guard(parse, reason, subject, invalid)


def convert(
    value: typing.Any, wanted: type[_T], reason: errors.Reason
) -> _T | errors.Failure:
    """Convert a decoded document without types, or return a failure."""
    return guard(lambda: msgspec.convert(value, wanted), reason)
