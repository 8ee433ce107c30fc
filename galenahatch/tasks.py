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

"""Background tasks of an application object.

A task that fails is logged and restarted after a delay, so that one unexpected
response never stops a part of a daemon permanently.
"""

import asyncio
import collections.abc
import typing

from galenahatch import logs

_RESTART_DELAY_S: typing.Final = 0.5
_log = logs.Log('tasks')

Work = collections.abc.Callable[
    [], collections.abc.Coroutine[None, None, None]
]


class Tasks:
    """Background tasks of one application object."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def run_forever(self, name: str, work: Work) -> None:
        """Run a task until the application stops, with restarts.

        Args:
            name: Name of the task in log lines.
            work: Function that is called again when it returns or fails.
        """
        self._add(asyncio.create_task(_run_with_restarts(name, work)))

    def run_once(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Run a task once and log its failure."""
        task = asyncio.create_task(_run_logging_failure(work))
        self._add(task)
        return task

    def __len__(self) -> int:
        return len(self._tasks)

    async def stop(self) -> None:
        """Cancel every task and wait for it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _add(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _run_with_restarts(name: str, work: Work) -> None:
    while True:
        try:
            await work()
        except Exception as error:  # noqa: H201  (logged and restarted)
            _log.error('Task failed.', task=name, error=repr(error))
        await asyncio.sleep(_RESTART_DELAY_S)


async def _run_logging_failure(
    work: collections.abc.Coroutine[None, None, None],
) -> None:
    try:
        await work
    except Exception as error:  # noqa: H201  (logged)
        _log.error('Task failed.', error=repr(error))


async def run_periodically(
    interval_s: collections.abc.Callable[[], float],
    work: collections.abc.Callable[
        [], collections.abc.Coroutine[None, None, None]
    ],
) -> None:
    """Call a function periodically, without end.

    Args:
        interval_s: Function that returns the seconds until the next call.
        work: Function to call.
    """
    while True:
        await work()
        await asyncio.sleep(interval_s())
