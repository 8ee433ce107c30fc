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

"""What the task that owns cells is told."""

import collections.abc
import dataclasses

from galenahatch.core import cells as cells_module
from galenahatch import ids
from galenahatch import messages
from galenahatch.upstream import engine as engine_client


@dataclasses.dataclass(frozen=True)
class EntryMessage:
    """A message of an entry.

    Attributes:
        send: answers the entry.
    """

    message: messages.AnyMessage
    send: collections.abc.Callable[[messages.AnyMessage], None]


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """A load report of an engine."""

    engine: ids.EngineName
    load: engine_client.Load


@dataclasses.dataclass(frozen=True)
class EntryGone:
    """An entry is taken for gone and its streams are cancelled."""

    entry: ids.MemberId


@dataclasses.dataclass(frozen=True)
class OwnershipUpdate:
    """Configuration, owners or leaving engines may have changed."""

    revision: ids.Revision
    cell_configs: collections.abc.Mapping[ids.CellId, cells_module.CellConfig]
    owned: frozenset[ids.CellId]
    leaving: frozenset[ids.EngineName]


PlacementEvent = EntryMessage | EngineReport | EntryGone | OwnershipUpdate
