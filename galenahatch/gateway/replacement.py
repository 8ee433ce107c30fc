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

"""Replaces a run whose engine is silent, once a replacement is certain.

Silence doesn't tell a run that goes on in a second from a connection that
never carries another byte. Ending the run to find out loses it if no other
engine has room or the retry budget is spent. So the run is kept and read from
while a replacement is sought: whichever comes first, its next bytes or the
replacement, ends the other. A search that fails is repeated until the
deadline, and the run goes on meanwhile.
"""

import asyncio
import collections.abc
import contextlib
import types
import typing

from galenahatch.gateway import messages
from galenahatch.gateway import prefill as prefills
from galenahatch import ids
from galenahatch import tasks
from galenahatch import timeouts


class Replacement(typing.NamedTuple):
    """Engines at which a silent run can go on.

    Attributes:
        placement: The decode engine; names no prefill engine that still has
            to be used.
        prefill: The completed prefill, or one that the decode engine does.
    """

    placement: messages.Placement
    prefill: prefills.Prefill

    @property
    def stream(self) -> ids.StreamId:
        """Stream under which the owner placed it."""
        return self.placement.stream


FindFunction = collections.abc.Callable[
    [], collections.abc.Awaitable[Replacement | None]
]
"""Seeks a replacement until it is cancelled, and then releases what it holds;
returns None if there can't be any."""


class Watch:
    """Ends a block if a run is silent and its replacement has been found.

    Use as an asynchronous context manager, which raises
    `asyncio.TimeoutError` if the run is to be replaced; `found` is set then.

    Args:
        silence: Seconds without bytes after which a replacement is sought;
            None for never.
        find: Seeks a replacement.
        discard: Releases a replacement that isn't needed.
        background: Runner of background tasks.
        first_silence: The same as `silence` for the first wait, if it differs.
    """

    def __init__(
        self,
        silence: float | None,
        find: FindFunction,
        discard: collections.abc.Callable[[Replacement], None],
        background: tasks.Tasks,
        first_silence: float | None = None,
    ) -> None:
        self._silence = silence
        self._first_silence = first_silence
        self._find = find
        self._discard = discard
        self._background = background
        self._found: Replacement | None = None
        self._scope = asyncio.timeout(None)
        self._search: asyncio.Task[None] | None = None

    @property
    def found(self) -> Replacement | None:
        """The replacement, if the run has been ended for it."""
        return self._found

    async def __aenter__(self) -> 'Watch':
        """Begin to watch the run."""
        await self._scope.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End the watch.

        Raises:
            asyncio.TimeoutError: The run is to be replaced.
        """
        await self._scope.__aexit__(kind, error, trace)
        # The run isn't replaced, as its caller left at the same moment.
        self._drop_found()

    @contextlib.contextmanager
    def waiting(self) -> collections.abc.Iterator[None]:
        """Watch a wait for bytes of the run; only these can be silent."""
        if self._silence is None:
            yield
            return
        silence, self._first_silence = self._first_silence, None
        if silence is None:
            silence = self._silence
        timer = timeouts.Timer(self._start_search, silence)
        try:
            yield
        finally:
            timer.cancel()
            self._stop_search()

    def _start_search(self) -> None:
        self._search = self._background.run_once(self._seek())

    async def _seek(self) -> None:
        found = await self._find()
        if found is not None:
            self._found = found
            self._scope.reschedule(asyncio.get_running_loop().time())

    def _stop_search(self) -> None:
        search, self._search = self._search, None
        if search is not None:
            search.cancel()
        if self._found is not None and not self._scope.expired():
            # Bytes came at the same moment; the run goes on.
            self._scope.reschedule(None)
            self._drop_found()

    def _drop_found(self) -> None:
        found, self._found = self._found, None
        if found is not None:
            self._discard(found)
