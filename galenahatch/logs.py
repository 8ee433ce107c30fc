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

"""Configuration of logging.

Every part logs through a `Log` with a fixed prefix. A line is a short
sentence followed by `key=value` fields; with `--log-json` the same line is
one JSON object. Values that contain spaces or quotes are quoted.

The gateway writes to standard output through `BoundedHandler`, which never
blocks on a slow reader and limits the rate of each kind of line.
"""

import collections
import os
import sys
import time
import typing

import logbook
import msgspec

Value = str | int | float | bool | None


class Log:
    """Logger of one part.

    Args:
        part: Prefix of each line, such as `entry`.
    """

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def debug(self, sentence: str, **fields: Value) -> None:
        """Log an event that is relevant for developers only."""
        self._logger.debug(sentence, extra=fields)

    def info(self, sentence: str, **fields: Value) -> None:
        """Log an event of normal operation."""
        self._logger.info(sentence, extra=fields)

    def warning(self, sentence: str, **fields: Value) -> None:
        """Log a handled problem that may be of interest to an operator."""
        self._logger.warning(sentence, extra=fields)

    def error(self, sentence: str, **fields: Value) -> None:
        """Log a problem that an operator should investigate."""
        self._logger.error(sentence, extra=fields)


def format_value(value: Value) -> str:
    """Return the text of a field's value, quoted if necessary."""
    if isinstance(value, float):
        return f'{value:.4g}'
    text = str(value)
    if not text or any(c in text for c in ' "=\n\r\t'):
        return msgspec.json.encode(text).decode()
    return text


def format_text(record: logbook.LogRecord, handler: object) -> str:
    """Format a record as text."""
    fields = ''.join(
        f' {key}={format_value(value)}' for key, value in record.extra.items()
    )
    stamp = record.time.strftime('%H:%M:%S.%f')[:-3]
    level = record.level_name.lower()
    return f'{stamp} {level} {record.channel}: {record.message}{fields}'


_MAX_FIELD_CHARS: typing.Final = 1000
"""Characters of a field; a line that is cut is no JSON any more."""


def format_json(record: logbook.LogRecord, handler: object) -> str:
    """Format a record as one JSON object."""
    entry: dict[str, typing.Any] = {
        'time': record.time.isoformat(),
        'level': record.level_name.lower(),
        'part': record.channel,
        'message': record.message,
    }
    for name, value in record.extra.items():
        entry[name] = _shorten(value) if isinstance(value, str) else value
    return msgspec.json.encode(entry).decode()


def _shorten(text: str) -> str:
    """Return text of any origin so that it leaves a line valid JSON."""
    if len(text) > _MAX_FIELD_CHARS:
        text = text[:_MAX_FIELD_CHARS] + '...'
    if text.isascii():
        return text
    return text.encode(errors='backslashreplace').decode()


MAX_LINES_PER_SECOND: typing.Final = 200
"""Maximum number of lines of one kind in a second. A gateway at its design
load answers about ten requests a second with three lines each; more lines
are a storm, whose first lines are sufficient."""
_MAX_LINE_BYTES: typing.Final = 4000
"""Maximum length of a line. A pipe writes up to 4096 bytes atomically."""


class BoundedHandler(logbook.Handler):  # type: ignore[misc]
    """Writes JSON lines to a file descriptor without blocking.

    A line is dropped if the reader is too slow, or if too many of its kind
    were logged in the current second; a summary line counts dropped lines.

    Args:
        descriptor: File descriptor to write to.
        level: Lowest level that is written.
    """

    def __init__(self, descriptor: int, level: str) -> None:
        super().__init__(level=level)
        os.set_blocking(descriptor, False)
        self.formatter = format_json
        self._descriptor = descriptor
        self._second = 0
        self._line_counts: collections.Counter[str] = collections.Counter()
        self.dropped: collections.Counter[str] = collections.Counter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        self._reset_each_second()
        line_kind = f'{record.channel}: {record.message}'
        self._line_counts[line_kind] += 1
        if self._line_counts[line_kind] > MAX_LINES_PER_SECOND:
            self.dropped[line_kind] += 1
        elif not self._write(self.format(record)):
            self.dropped[line_kind] += 1

    def _reset_each_second(self) -> None:
        current_second = int(time.monotonic())
        if current_second == self._second:
            return
        self._second = current_second
        self._line_counts.clear()
        if not self.dropped:
            return
        summary = {
            'level': 'warning',
            'part': 'logs',
            'message': 'Lines left out.',
            'counts': dict(self.dropped),
        }
        if self._write(msgspec.json.encode(summary).decode()):
            self.dropped.clear()

    def _write(self, line: str) -> bool:
        data = line.encode()[:_MAX_LINE_BYTES] + b'\n'
        try:
            return os.write(self._descriptor, data) == len(data)
        except OSError:
            return False


def configure_bounded(level: str) -> None:
    """Write all log lines to standard output as JSON, without blocking."""
    BoundedHandler(sys.stdout.fileno(), level.upper()).push_application()


def configure(level: str, as_json: bool) -> None:
    """Write all log lines to standard error.

    Args:
        level: Lowest level that is written, such as `info`.
        as_json: Whether to write JSON lines in place of text.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_json if as_json else format_text
    handler.push_application()
