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

"""Engine pools of a cell, by role, with their health."""

import collections.abc
import typing

from galenahatch.core import engines
from galenahatch.core import health
from galenahatch import ids
from galenahatch import schema

HEALTH_INTERVAL_S: typing.Final = 0.1
_Pooled = typing.TypeVar(
    '_Pooled', engines.PrefillEngine, engines.DecodeEngine
)


class Pools:
    """Pools of prefill and decode engines; times are monotonic seconds."""

    def __init__(self) -> None:
        self._prefills: dict[ids.EngineName, engines.PrefillEngine] = {}
        self._decodes: dict[ids.EngineName, engines.DecodeEngine] = {}
        self._health_updated_at = 0.0
        self.prefills: tuple[engines.PrefillEngine, ...] = ()
        self.decodes: tuple[engines.DecodeEngine, ...] = ()

    def configure(
        self,
        declared: collections.abc.Iterable[schema.Engine],
        token_interval: float,
    ) -> None:
        """Apply the declared engines; known ones keep their state.

        Args:
            declared: Engines of the cell.
            token_interval: Initial seconds between tokens of new engines.
        """
        prefills = {}
        decodes = {}
        for settings in declared:
            if settings.role == 'prefill':
                prefills[settings.name] = self._get_or_create_prefill(settings)
            else:
                decode = self._get_or_create_decode(settings, token_interval)
                decodes[settings.name] = decode
        self._prefills = prefills
        self._decodes = decodes
        self.prefills = tuple(prefills.values())
        self.decodes = tuple(decodes.values())

    def set_leaving(
        self, leaving: collections.abc.Container[ids.EngineName]
    ) -> None:
        """Set which engines are leaving according to any source."""
        for engine in self._all_engines():
            engine.leaving = engine.name in leaving

    def prefill(self, name: ids.EngineName) -> engines.PrefillEngine | None:
        """Return a prefill engine."""
        return self._prefills.get(name)

    def decode(self, name: ids.EngineName) -> engines.DecodeEngine | None:
        """Return a decode engine."""
        return self._decodes.get(name)

    def engine(
        self, name: ids.EngineName
    ) -> engines.PrefillEngine | engines.DecodeEngine | None:
        """Return an engine of either role."""
        return self._prefills.get(name) or self._decodes.get(name)

    def healthy_prefills(self) -> list[engines.PrefillEngine]:
        """Return the healthy prefill engines that are not leaving."""
        return _healthy(self.prefills)

    def healthy_decodes(self) -> list[engines.DecodeEngine]:
        """Return the healthy decode engines that are not leaving."""
        return _healthy(self.decodes)

    def first_idle_at(self, now: float) -> float:
        """Return when the first prefill engine becomes idle."""
        idle = (engine.starts_at(now) for engine in self.prefills)
        return min(idle, default=now)

    def record_token_interval(
        self, decode: engines.DecodeEngine, seconds: float, target: float
    ) -> None:
        """Record a time between tokens of an engine."""
        occupancy = decode.reserved / decode.places
        decode.record_token_interval(seconds, target, occupancy)
        peers = [peer.seconds_per_token for peer in self.decodes]
        decode.health.record_token_interval(seconds, peers)

    def expect_no_load_reports(self) -> None:
        """Stop expecting load reports, which this owner no longer polls."""
        for engine in self._all_engines():
            engine.health.expect_no_reports()

    def update_health(self, now: float) -> None:
        """Eject and readmit engines, keeping at least half of each pool."""
        if now - self._health_updated_at < HEALTH_INTERVAL_S:
            return
        self._health_updated_at = now
        _update_health(self.prefills, now)
        _update_health(self.decodes, now)

    def _all_engines(
        self,
    ) -> list[engines.PrefillEngine | engines.DecodeEngine]:
        return [*self.prefills, *self.decodes]

    def _get_or_create_prefill(
        self, settings: schema.Engine
    ) -> engines.PrefillEngine:
        known = self._prefills.get(settings.name)
        if known is None:
            return engines.PrefillEngine(settings, health.EngineHealth())
        known.settings = settings
        return known

    def _get_or_create_decode(
        self, settings: schema.Engine, token_interval: float
    ) -> engines.DecodeEngine:
        known = self._decodes.get(settings.name)
        if known is None:
            return engines.DecodeEngine(
                settings,
                health.EngineHealth(),
                token_interval,
                settings.places,
            )
        known.settings = settings
        return known


def _healthy(pool: collections.abc.Iterable[_Pooled]) -> list[_Pooled]:
    return [
        engine
        for engine in pool
        if not engine.leaving and engine.health.state is health.Health.GOOD
    ]


def _update_health(
    pool: collections.abc.Sequence[_Pooled], now: float
) -> None:
    ejected = sum(
        engine.health.state is not health.Health.GOOD for engine in pool
    )
    for engine in pool:
        may_eject = (ejected + 1) / len(pool) <= health.MAX_EJECTED_SHARE
        previous = engine.health.state
        current = engine.health.update(now, may_eject)
        if previous is health.Health.GOOD and current is not previous:
            ejected += 1
