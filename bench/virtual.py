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

"""An event loop that runs in virtual time.

When no callback is ready, the clock jumps to the next timer instead of
waiting. The real core and the engines' time model thus run in one process,
deterministically, and minutes of traffic take seconds.
"""

import asyncio
import collections.abc
import selectors
import typing

_T = typing.TypeVar('_T')


class _Selector(selectors.SelectSelector):
    """A selector that advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout; no file is ever ready."""
        if timeout is None:
            raise RuntimeError(
                'deadlock: no callback is ready and no timer is set'
            )
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is virtual."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run(
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, _T],
) -> _T:
    """Run a coroutine in virtual time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
