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

"""Events for the task that owns a scheduler's cells."""

import collections.abc
import dataclasses

from galenahatch.core import cells as cells_module
from galenahatch import ids
from galenahatch import messages
from galenahatch.upstream import engine as engine_client


@dataclasses.dataclass(frozen=True)
class EntryMessage:
    """A message from an entry.

    Attributes:
        send: callback that sends a reply to the entry.
    """

    message: messages.AnyMessage
    send: collections.abc.Callable[[messages.AnyMessage], None]


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """A load report from an engine."""

    engine: ids.EngineName
    load: engine_client.Load


@dataclasses.dataclass(frozen=True)
class EntryGone:
    """An entry is considered gone and its streams are being cancelled."""

    entry: ids.MemberId


@dataclasses.dataclass(frozen=True)
class OwnershipUpdate:
    """The configuration, cell owners or leaving engines may have changed."""

    revision: ids.Revision
    cell_configs: collections.abc.Mapping[ids.CellId, cells_module.CellConfig]
    owned: frozenset[ids.CellId]
    leaving: frozenset[ids.EngineName]


PlacementEvent = EntryMessage | EngineReport | EntryGone | OwnershipUpdate
