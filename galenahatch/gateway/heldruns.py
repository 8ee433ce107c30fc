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


"""Keeps a silent run until its replacement has begun.

An engine may reject the request that is to replace a silent run elsewhere, or
be silent itself: what silenced the first engine may concern all of them. So
the silent run stays open until the head of the replacement has come, which
ends it. If the silent run goes on before that, the replacement is ended; it is
also read on if the replacement fails. So two runs work on a stream for a
moment at most. The placement of a silent run is released when it has ended, as
it uses its engine until then.
"""

import asyncio
import collections.abc
import functools
import typing

from galenahatch.core import upstreams
from galenahatch.gateway import inflight
from galenahatch.gateway import messages
from galenahatch.gateway import sendresults
from galenahatch import logs

_MIN_PAUSE_S: typing.Final = 0.3
"""Seconds from a second rejection in a row to the next search. Each search
has a prompt read again, so the pause doubles with each rejection: their number
grows with the logarithm of the time that is left."""
_log = logs.Log('generation')


class Run(typing.NamedTuple):
    """A run whose response has begun."""

    running: messages.RunningGeneration
    engine: upstreams.Upstream
    response: sendresults.Response


class HeldRun:
    """Holds at most one silent run of a request.

    Args:
        release: Releases a placement.
    """

    def __init__(
        self, release: collections.abc.Callable[[messages.Release], None]
    ) -> None:
        self._release_now = release
        self._run: Run | None = None
        self._release: messages.Release | None = None
        self._abandonment: inflight.Abandonment | None = None
        self._rejections = 0
        self._events = -1

    def pause_after_rejection(self, events: int) -> float:
        """Record a rejection; return the seconds until the next search.

        The run was silent already, so the first search begins at once.

        Args:
            events: Events of the stream so far. A further one ends a row.
        """
        if events != self._events:
            self._rejections, self._events = 0, events
        self._rejections += 1
        if self._rejections == 1:
            return 0.0
        return _MIN_PAUSE_S * 2.0 ** (self._rejections - 2)

    @property
    def abandonment(self) -> inflight.Abandonment | None:
        """Ends the wait for a replacement if the run goes on."""
        return self._abandonment

    @property
    def goes_on(self) -> bool:
        """Whether the run is silent no longer."""
        return self._run is not None and self._run.response.has_read_ahead

    def hold(self, run: Run) -> None:
        """Keep a run open until its replacement has begun."""
        self.end()
        self._run = run
        self._abandonment = inflight.Abandonment()
        reading = run.response.read_ahead()
        reading.add_done_callback(functools.partial(self._end_silence, run))

    def _end_silence(
        self, run: Run, reading: asyncio.Task[bytes | sendresults.FailedSend]
    ) -> None:
        """Prefer a run that goes on to its replacement; drop a broken one."""
        if self._run is not run or reading.cancelled():
            return
        if isinstance(reading.result(), sendresults.FailedSend):
            self.end()
        elif self._abandonment is not None:
            self._abandonment.request()

    def release(self, release: messages.Release) -> None:
        """Release a placement, once its run is held no longer."""
        if self._run and self._run.running.stream == release.stream:
            self._release = release
        else:
            self._release_now(release)

    def take(self) -> Run | None:
        """Return the run, to be read on and released; None if it has ended."""
        run, self._run = self._run, None
        self._release = self._abandonment = None
        return run

    def end(self) -> None:
        """End the run, if there is one, which makes its engine abort it."""
        release = self._release
        run = self.take()
        if run is not None:
            run.response.close()
        if release is not None:
            self._release_now(release)


def log_resumption(request: str, run: Run) -> None:
    """Log that a silent run is read on, and why."""
    text = 'Replacement rejected.'
    if run.response.has_read_ahead:
        text = 'Silent run goes on.'
    _log.info(text, request=request, engine=run.engine.id)
