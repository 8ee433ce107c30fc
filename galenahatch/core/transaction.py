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

"""Data types for transactions on the platform's table.

Conditions compare complete values, so that a write whose response was lost
can be recognised without clocks or version numbers.
"""

import msgspec


class Condition(msgspec.Struct, frozen=True):
    """Requires a key to have exactly this value; None requires absence."""

    key: str
    value: bytes | None = None


class Write(msgspec.Struct, frozen=True):
    """Sets a key to this value; None deletes it."""

    key: str
    value: bytes | None


class Transaction(msgspec.Struct, frozen=True):
    """Applies all writes if all conditions hold, otherwise none."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Committed(msgspec.Struct, frozen=True):
    """Result of a transaction that took effect."""


class Conflict(msgspec.Struct, frozen=True):
    """Result of failed conditions, with the current values of their keys."""

    current: dict[str, bytes | None]
