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

"""Transactions of the platform's table, as data.

Conditions compare whole values, so neither clocks nor version numbers are
needed to recognise a write whose answer was lost.
"""

import msgspec


class Condition(msgspec.Struct, frozen=True):
    """A key must hold exactly this value; None means that it is absent."""

    key: str
    value: bytes | None = None


class Write(msgspec.Struct, frozen=True):
    """A key gets this value; None deletes it."""

    key: str
    value: bytes | None


class Transaction(msgspec.Struct, frozen=True):
    """All writes happen if all conditions hold, else none."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Committed(msgspec.Struct, frozen=True):
    """The transaction took effect."""


class Conflict(msgspec.Struct, frozen=True):
    """Conditions that do not hold, with the values that stand."""

    current: dict[str, bytes | None]
