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

"""An event loop under virtual time.

Waiting costs nothing: when nothing is ready, the clock jumps to the next
timer. So the real core and the engines' time model run in one process,
deterministically, and minutes of traffic take seconds.
"""

import asyncio
import collections.abc
import selectors
import typing

_T = typing.TypeVar('_T')


class _Selector(selectors.SelectSelector):
    """Advances the clock in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Jump to the next timer."""
        if timeout is None:
            raise RuntimeError('nothing is left to wait for')
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """The loop."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._virtual.now


def run(work: collections.abc.Coroutine[typing.Any, typing.Any, _T]) -> _T:
    """Run a coroutine under virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
