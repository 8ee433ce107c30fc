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

"""The engines of a cell, by role, with their health."""

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
    """Prefill and decode engines; times are monotonic seconds."""

    def __init__(self) -> None:
        self._prefills: dict[ids.EngineName, engines.PrefillEngine] = {}
        self._decodes: dict[ids.EngineName, engines.DecodeEngine] = {}
        self._health_at = 0.0
        self.prefills: tuple[engines.PrefillEngine, ...] = ()
        self.decodes: tuple[engines.DecodeEngine, ...] = ()

    def configure(
        self,
        declared: collections.abc.Iterable[schema.Engine],
        pace_target: float,
    ) -> None:
        """Take the declared engines; known ones keep their state.

        Args:
            declared: engines of the cell.
            pace_target: seconds between tokens, first guess for new ones.
        """
        prefills = {}
        decodes = {}
        for settings in declared:
            if settings.role == 'prefill':
                prefills[settings.name] = self._prefill_of(settings)
            else:
                decode = self._decode_of(settings, pace_target)
                decodes[settings.name] = decode
        self._prefills = prefills
        self._decodes = decodes
        self.prefills = tuple(prefills.values())
        self.decodes = tuple(decodes.values())

    def set_leaving(
        self, leaving: collections.abc.Container[ids.EngineName]
    ) -> None:
        """Take which engines leave, from all sources together."""
        for engine in self._all():
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
        """Return the prefill engines whose time can be counted on."""
        return _working(self.prefills)

    def healthy_decodes(self) -> list[engines.DecodeEngine]:
        """Return the decode engines whose places can be counted on."""
        return _working(self.decodes)

    def first_idle_at(self, now: float) -> float:
        """Return when the first prefill engine is idle, whichever it is."""
        idle = (engine.starts_at(now) for engine in self.prefills)
        return min(idle, default=now)

    def record_token_interval(
        self, decode: engines.DecodeEngine, seconds: float, target: float
    ) -> None:
        """Note a time between tokens of one engine."""
        occupancy = decode.reserved / decode.places
        decode.record_token_interval(seconds, target, occupancy)
        peers = [other.seconds_per_token for other in self.decodes]
        decode.health.record_token_interval(seconds, peers)

    def expect_no_load_reports(self) -> None:
        """Expect no load reports: this owner no longer asks for them."""
        for engine in self._all():
            engine.health.expect_no_reports()

    def update_health(self, now: float) -> None:
        """Eject and re-admit engines, at most half of a pool out."""
        if now - self._health_at < HEALTH_INTERVAL_S:
            return
        self._health_at = now
        _update(self.prefills, now)
        _update(self.decodes, now)

    def _all(
        self,
    ) -> list[engines.PrefillEngine | engines.DecodeEngine]:
        return [*self.prefills, *self.decodes]

    def _prefill_of(self, settings: schema.Engine) -> engines.PrefillEngine:
        known = self._prefills.get(settings.name)
        if known is None:
            return engines.PrefillEngine(settings, health.EngineHealth())
        known.settings = settings
        return known

    def _decode_of(
        self, settings: schema.Engine, pace_target: float
    ) -> engines.DecodeEngine:
        known = self._decodes.get(settings.name)
        if known is None:
            return engines.DecodeEngine(
                settings, health.EngineHealth(), pace_target, settings.places
            )
        known.settings = settings
        return known


def _working(pool: collections.abc.Iterable[_Pooled]) -> list[_Pooled]:
    return [
        engine
        for engine in pool
        if not engine.leaving and engine.health.state is health.Health.GOOD
    ]


def _update(pool: collections.abc.Sequence[_Pooled], now: float) -> None:
    out = sum(engine.health.state is not health.Health.GOOD for engine in pool)
    for engine in pool:
        may_eject = (out + 1) / len(pool) <= health.MAX_EJECTED_SHARE
        before = engine.health.state
        after = engine.health.update(now, may_eject)
        if before is health.Health.GOOD and after is not before:
            out += 1
